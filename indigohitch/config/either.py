"""Reads a configuration file of either kind: a sidecar's or a coordinator's, told apart by its words."""

from __future__ import annotations

from . import operator_file, sidecar_file
from .texts import Text

SIDECAR_ONLY_WORDS = (
    (set(sidecar_file.SINGLE) - set(operator_file.OPERATOR))
    | set(sidecar_file.VOCABULARY.words)
    | set(sidecar_file.VOCABULARY.deferred)
)


def is_operators(text: str) -> bool:
    """Returns whether the text has words, and none that only a sidecar's file may have."""
    first_words = {words[0] for words in (line.split("#")[0].split() for line in text.splitlines()) if words}
    return bool(first_words) and not first_words & SIDECAR_ONLY_WORDS


def load(source: str) -> Text:
    """Reads the file as the kind that its words show.

    Raises:
        ConfigError: The file has mistakes.
        OSError: The file can't be read.
    """
    text = sidecar_file.text_in(source)
    return (operator_file if is_operators(text) else sidecar_file).read(text, source)
