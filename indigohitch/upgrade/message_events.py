"""What a word of the new process is to the old one's machine.  No I/O."""

from __future__ import annotations

from . import messages
from . import snapshot as shots


def event(word: messages.Message, state: bytes) -> tuple[str, str]:
    """The event, and why; `state`: what was handed over."""
    match word:
        case messages.Hello(protocol, schema):
            if abs(protocol - messages.PROTOCOL) > 1 or abs(schema - shots.SCHEMA) > 1:
                return "refused", f"the new program reads schema {schema}, this one {shots.SCHEMA}"
            return "hello", ""
        case messages.StateRestored(digest):
            same = digest == shots.digest(state)
            return ("restored", "") if same else ("refused", "the state came out different")
        case messages.StateProven():
            return "proven", ""
        case messages.AcceptingStarted():
            return "accepting", ""
        case messages.HandoverRefused(why):
            return "refused", why
    return "broken", f"{type(word).__name__} from the new process"
