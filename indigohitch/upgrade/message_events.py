"""Translates messages of the new process into events of the old process' state machine.  No I/O."""

from __future__ import annotations

from . import messages, snapshot

MAX_VERSION_DISTANCE = 1  # adjacent versions of protocol and schema can read each other


def event(message: messages.Message, state: bytes) -> tuple[str, str]:
    """Returns the event for a message and its reason; `state` is the encoded state that was sent."""
    match message:
        case messages.Hello(protocol, schema):
            return _hello_event(protocol, schema)
        case messages.StateRestored(digest):
            is_equal = digest == snapshot.digest(state)
            return ("restored", "") if is_equal else ("refused", "the restored state has a different digest")
        case messages.StateProven():
            return "proven", ""
        case messages.AcceptingStarted():
            return "accepting", ""
        case messages.HandoverRefused(reason):
            return "refused", reason
    return "broken", f"unexpected {type(message).__name__} from the new process"


def _hello_event(protocol: int, schema: int) -> tuple[str, str]:
    """Returns `hello` if the new process can read this process' protocol and schema, else `refused`."""
    protocol_distance = abs(protocol - messages.PROTOCOL)
    schema_distance = abs(schema - snapshot.SCHEMA)
    if protocol_distance > MAX_VERSION_DISTANCE or schema_distance > MAX_VERSION_DISTANCE:
        return "refused", f"the new program reads schema {schema}, this one {snapshot.SCHEMA}"
    return "hello", ""
