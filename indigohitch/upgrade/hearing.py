"""What a word of the new process is to the old one's machine.  No I/O."""

from __future__ import annotations

from . import snapshot as shots
from . import words


def event(word: words.Word, state: bytes) -> tuple[str, str]:
    """The event, and why; `state`: what was handed over."""
    match word:
        case words.Hello(protocol, schema):
            if abs(protocol - words.PROTOCOL) > 1 or abs(schema - shots.SCHEMA) > 1:
                return "refused", f"the new program reads schema {schema}, this one {shots.SCHEMA}"
            return "hello", ""
        case words.Restored(digest):
            same = digest == shots.digest(state)
            return ("restored", "") if same else ("refused", "the state came out different")
        case words.Proven():
            return "proven", ""
        case words.Accepting():
            return "accepting", ""
        case words.Refuse(why):
            return "refused", why
    return "broken", f"{type(word).__name__} from the new process"
