"""The operator's file of a coordinator: `control`, `state`, `pidfile`, `program`, `wait`, and the words of
the fleet.  All else the platform tells it.  No I/O but `load`."""

from __future__ import annotations

from . import fleet
from .further import VOCABULARIES
from .lines import Reader, Vocabulary
from .sidecar_file import SINGLE, VOCABULARY, WAITS, text_in
from .texts import Text

OPERATOR = ("name", "control", "state", "pidfile", "program")


class OperatorReader(Reader):
    def unknown(self, word: str) -> str:
        if word in VOCABULARY.words or word in VOCABULARY.last or word in SINGLE:
            return f"{word!r} is not for a coordinator; there are {', '.join(self.all_words())}"
        return super().unknown(word)


def read(text: str, source: str = "-") -> Text:
    """Raises Mistakes."""
    own = Vocabulary(single={key: SINGLE[key] for key in OPERATOR}, waits=WAITS)
    reader = OperatorReader(source, (*VOCABULARIES, own)).read(text)
    return Text(
        source, reader.picked("directive", SINGLE), {}, reader.picked("wait", WAITS), fleet=fleet.told(reader)
    )


def load(source: str) -> Text:
    """Raises Mistakes, OSError."""
    return read(text_in(source), source)
