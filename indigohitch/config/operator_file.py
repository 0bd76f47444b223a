"""Reads a coordinator's file: `control`, `state`, `pidfile`, `program`, `wait`, and the words of the fleet.

The platform supplies all other settings.  Only `load` does I/O.
"""

from __future__ import annotations

from . import fleet
from .further import VOCABULARIES
from .lines import Reader, Vocabulary
from .sidecar_file import SINGLE, VOCABULARY, WAITS, text_in
from .texts import Text

OPERATOR = ("name", "control", "state", "pidfile", "program")


class OperatorReader(Reader):
    """Reader of a coordinator's file; says so where a word belongs to a sidecar's file."""

    def unknown(self, word: str) -> str:
        """Returns the message for an unknown word; words of a sidecar's file get one of their own."""
        if word in VOCABULARY.words or word in VOCABULARY.deferred or word in SINGLE:
            return f"{word!r} is not for a coordinator; there are {', '.join(self.all_words())}"
        return super().unknown(word)


def read(text: str, source: str = "-") -> Text:
    """Parses the text of a coordinator's file; `source` is its name in messages.

    Raises:
        ConfigError: The text has mistakes.
    """
    own = Vocabulary(single={key: SINGLE[key] for key in OPERATOR}, waits=WAITS)
    reader = OperatorReader(source, (*VOCABULARIES, own)).read(text)
    return Text(
        source,
        reader.values_of("directive", SINGLE),
        {},
        reader.values_of("wait", WAITS),
        fleet=fleet.fleet_of(reader),
    )


def load(source: str) -> Text:
    """Reads and parses the file at the path `source`.

    Raises:
        ConfigError: The file has mistakes.
        OSError: The file can't be read.
    """
    return read(text_in(source), source)
