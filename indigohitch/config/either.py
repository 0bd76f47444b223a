"""A file that is a sidecar's or a coordinator's: by its words."""

from __future__ import annotations

from . import operator_file, sidecar_file
from .texts import Text

ONLY = (
    (set(sidecar_file.SINGLE) - set(operator_file.OPERATOR))
    | set(sidecar_file.VOCABULARY.words)
    | set(sidecar_file.VOCABULARY.last)
)


def is_operators(text: str) -> bool:
    """It has words, and none that only a sidecar's file has."""
    first = {words[0] for words in (line.split("#")[0].split() for line in text.splitlines()) if words}
    return bool(first) and not first & ONLY


def load(source: str) -> Text:
    """Raises Mistakes, OSError."""
    text = sidecar_file.text_in(source)
    return (operator_file if is_operators(text) else sidecar_file).read(text, source)
