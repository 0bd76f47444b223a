"""The reader: lines into directives, every mistake with its line.  No I/O."""

from __future__ import annotations

import difflib
import shlex
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from ..errors import InvalidDataError
from .words import words

T = TypeVar("T")
Values = Mapping[str, tuple[Callable[[str], object], object]]  # by word: its reader and its default


class ConfigError(InvalidDataError):
    """All that is wrong with a file: (line, reason) each, in order."""

    remedy = "mend these lines; docs/sidecar.md lists the words, docs/fleet-operators.md those of a fleet"

    def __init__(self, source: str, found: list[tuple[int, str]]) -> None:
        self.source, self.found = source, sorted(found)
        super().__init__("\n".join(f"{source}:{line}: {why}" for line, why in self.found), source)

    def text(self) -> str:
        return self.problem  # each line of it says where


class Follows(ValueError):
    """Wrong only since another line is, which is told."""


@dataclass(frozen=True)
class Vocabulary:
    """What one kind of file, or one part of the fleet, may say.  A directive's reader takes the line's
    number, the words after the first, and the Reader; it raises ValueError or tells `reader.wrong`."""

    words: Mapping[str, Callable[[int, list[str], Reader], None]] = field(default_factory=dict)
    last: Mapping[str, Callable[[int, list[str], Reader], None]] = field(default_factory=dict)
    checks: Sequence[Callable[[Reader], None]] = ()
    single: Values = field(default_factory=dict)  # directives of one value
    waits: Values = field(default_factory=dict)  # `wait WORD VALUE`
    limits: Values = field(default_factory=dict)


class Reader:
    def __init__(self, source: str, vocabularies: Sequence[Vocabulary]) -> None:
        self.source = source
        self.mistakes: list[tuple[int, str]] = []
        self.end = 1  # the file's last line: where what is missing is told
        self.lines: dict[tuple[str, str], int] = {}  # where a name was given first
        self.given: dict[str, dict[str, object]] = {"directive": {}, "wait": {}, "limit": {}}
        self.known: dict[str, dict] = {"directive": {}, "wait": {}, "limit": {}}
        self.words, self.last, self.checks = {}, {}, []
        for one in vocabularies:
            self.words.update(one.words)
            self.last.update(one.last)
            self.checks += one.checks
            for kind, values in (("directive", one.single), ("wait", one.waits), ("limit", one.limits)):
                self.known[kind].update(values)
        self._later: list[tuple[int, str, list[str]]] = []
        self._found: dict[type, object] = {}

    def read(self, text: str) -> Reader:
        """Raises Mistakes."""
        self.end = len((text + " ").splitlines())
        for at, line in enumerate(text.splitlines(), 1):
            self.guarded(at, self.directive, at, line)
        for at, word, rest in self._later:
            self.guarded(at, self.last[word], at, rest, self)
        for check in self.checks:
            check(self)
        if self.mistakes:
            raise ConfigError(self.source, self.mistakes)
        return self

    def found(self, kind: type[T]) -> T:
        """The one object of that kind that this reading fills."""
        if kind not in self._found:
            self._found[kind] = kind()
        return self._found[kind]

    def picked(self, kind: str, values: Values) -> dict:
        """What was given of these, else its default; `kind`: "directive", "wait" or "limit"."""
        return {key: self.given[kind].get(key, default) for key, (_, default) in values.items()}

    # ---- mistakes ----------------------------------------------------------------------------------

    def wrong(self, at: int, why: str) -> None:
        if (at, why) not in self.mistakes:
            self.mistakes.append((at, why))

    def guarded(self, at: int, action: Callable[..., T], *args) -> T | None:
        """What `action` returns; None where it raised, and then that is told."""
        try:
            return action(*args)
        except Follows:
            pass
        except ValueError as bad:
            self.wrong(at, str(bad))
        return None

    def once(self, at: int, kind: str, key: str) -> None:
        first = self.lines.setdefault((kind, key), at)
        if first != at:
            raise ValueError(f"{kind} {key} stands already in line {first}")

    # ---- lines -------------------------------------------------------------------------------------

    def directive(self, at: int, line: str) -> None:
        try:
            parts = shlex.split(line, comments=True)
        except ValueError as bad:
            raise ValueError(f"can't be read: {bad}") from None
        if not parts:
            return
        word, *rest = parts
        if word in self.known["directive"]:
            self.once(at, "directive", word)
            self.value(word, "directive", word, rest)
        elif word in ("wait", "limit") and self.known[word]:
            if not rest or rest[0] not in self.known[word]:
                raise ValueError(
                    f"no such {word}: {' '.join(rest[:1]) or 'nothing'}; there are "
                    f"{', '.join(sorted(self.known[word]))}"
                )
            self.once(at, word, rest[0])
            self.value(f"{word} {rest[0]}", word, rest[0], rest[1:])
        elif word in self.words:
            self.words[word](at, rest, self)
        elif word in self.last:
            self._later.append((at, word, rest))
        else:
            raise ValueError(self.unknown(word))

    def all_words(self) -> list[str]:
        groups = [kind for kind in ("limit", "wait") if self.known[kind]]
        return sorted({*self.known["directive"], *self.words, *self.last, *groups})

    def unknown(self, word: str) -> str:
        near = difflib.get_close_matches(word, self.all_words(), 1)
        return f"unknown word {word!r}" + (f"; is {near[0]!r} meant?" if near else "")

    def value(self, what: str, kind: str, key: str, rest: list[str]) -> None:
        read = self.known[kind][key][0]
        if read is not words and len(rest) != 1:
            raise ValueError(f"{what} takes one value, {len(rest)} stand here")
        self.given[kind][key] = rest if read is words else self.told(what, read, rest[0])

    @staticmethod
    def told(what: str, read: Callable[[str], T], text: str) -> T:
        try:
            return read(text)
        except ValueError as bad:
            raise ValueError(f"{what}: {bad}") from None

    def options(self, at: int, rest: list[str], known: Mapping[str, Callable[[str], object]]) -> dict:
        """Pairs of a word and its value, in any order.  Each mistake is told; its word is left out."""
        found, seen = {}, set()
        for key, text in zip(rest[::2], [*rest[1::2], None]):
            if key not in known:
                self.wrong(at, f"unknown word {key!r}; there are {', '.join(known)}")
                break  # what follows may be out of step
            if key in seen:
                self.wrong(at, f"{key} stands twice")
            elif text is None:
                self.wrong(at, f"{key} has no value")
            else:
                try:
                    found[key] = self.told(key, known[key], text)
                except ValueError as bad:
                    self.wrong(at, str(bad))
            seen.add(key)
        return found
