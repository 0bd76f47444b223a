"""Translates a message of the new process into an event of the old process' state machine.  No I/O."""

from __future__ import annotations

from . import messages
from . import snapshot as shots

MAX_VERSION_DISTANCE = 1  # neighbouring versions of protocol and schema read each other


def event(message: messages.Message, state: bytes) -> tuple[str, str]:
    """Returns the event and its reason; `state` is the encoded state that was handed over."""
    match message:
        case messages.Hello(protocol, schema):
            return _hello_event(protocol, schema)
        case messages.StateRestored(digest):
            same = digest == shots.digest(state)
            return ("restored", "") if same else ("refused", "the state came out different")
        case messages.StateProven():
            return "proven", ""
        case messages.AcceptingStarted():
            return "accepting", ""
        case messages.HandoverRefused(why):
            return "refused", why
    return "broken", f"{type(message).__name__} from the new process"


def _hello_event(protocol: int, schema: int) -> tuple[str, str]:
    """Accepts only a new process that reads this process' protocol and schema."""
    protocol_distance = abs(protocol - messages.PROTOCOL)
    schema_distance = abs(schema - shots.SCHEMA)
    if protocol_distance > MAX_VERSION_DISTANCE or schema_distance > MAX_VERSION_DISTANCE:
        return "refused", f"the new program reads schema {schema}, this one {shots.SCHEMA}"
    return "hello", ""
