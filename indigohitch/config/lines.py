"""Splits a configuration file into directives and reports each mistake with its line number.  No I/O."""

from __future__ import annotations

import difflib
import shlex
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from ..errors import InvalidDataError
from .words import words

T = TypeVar("T")
Values = Mapping[str, tuple[Callable[[str], object], object]]  # by word: its parser and its default


class ConfigError(InvalidDataError):
    """All mistakes of a file: `found` lists a line number and a reason for each, in order of lines."""

    remedy = "mend these lines; docs/sidecar.md lists the words, docs/fleet-operators.md those of a fleet"

    def __init__(self, source: str, found: list[tuple[int, str]]) -> None:
        self.source, self.found = source, sorted(found)
        super().__init__("\n".join(f"{source}:{line}: {why}" for line, why in self.found), source)

    def text(self) -> str:
        """Returns the mistakes, one a line, each with file and line number."""
        return self.problem


class DependentLineError(ValueError):
    """A line fails only because another line has a mistake, which is reported there."""


@dataclass(frozen=True)
class Vocabulary:
    """The words of one kind of file, or of one feature of the fleet.

    A directive's handler takes the line number, the words after the first, and the Reader; it raises
    ValueError or calls `Reader.report` for a mistake.

    Attributes:
        words: Handlers that run as their lines are read.
        deferred: Handlers that run after all other lines, as they refer to names that other lines declare.
        checks: Functions that run once all lines are read.
        single: Directives that take one value.
        waits: Words of `wait WORD VALUE`.
        limits: Words of `limit WORD VALUE`.
    """

    words: Mapping[str, Callable[[int, list[str], Reader], None]] = field(default_factory=dict)
    deferred: Mapping[str, Callable[[int, list[str], Reader], None]] = field(default_factory=dict)
    checks: Sequence[Callable[[Reader], None]] = ()
    single: Values = field(default_factory=dict)
    waits: Values = field(default_factory=dict)
    limits: Values = field(default_factory=dict)


class Reader:
    """Reads the lines of one file by the given vocabularies and collects values and mistakes."""

    def __init__(self, source: str, vocabularies: Sequence[Vocabulary]) -> None:
        self.source = source
        self.mistakes: list[tuple[int, str]] = []
        self.last_line = 1  # the file's last line: missing directives are reported there
        self.first_lines: dict[tuple[str, str], int] = {}  # (kind, name): the line that declares it first
        self.given: dict[str, dict[str, object]] = {"directive": {}, "wait": {}, "limit": {}}
        self.known: dict[str, dict] = {"directive": {}, "wait": {}, "limit": {}}
        self.words, self.deferred, self.checks = {}, {}, []
        for one in vocabularies:
            self.words.update(one.words)
            self.deferred.update(one.deferred)
            self.checks += one.checks
            for kind, values in (("directive", one.single), ("wait", one.waits), ("limit", one.limits)):
                self.known[kind].update(values)
        self._deferred_lines: list[tuple[int, str, list[str]]] = []
        self._collected: dict[type, object] = {}

    def read(self, text: str) -> Reader:
        """Reads all lines, then the deferred ones, then runs the checks; returns itself.

        Raises:
            ConfigError: The text has mistakes.
        """
        self.last_line = len((text + " ").splitlines())
        for line_number, line in enumerate(text.splitlines(), 1):
            self.report_errors(line_number, self.directive, line_number, line)
        for line_number, word, rest in self._deferred_lines:
            self.report_errors(line_number, self.deferred[word], line_number, rest, self)
        for check in self.checks:
            check(self)
        if self.mistakes:
            raise ConfigError(self.source, self.mistakes)
        return self

    def collected(self, kind: type[T]) -> T:
        """Returns the one object of this class that this reading fills, created on first use."""
        if kind not in self._collected:
            self._collected[kind] = kind()
        return self._collected[kind]

    def values_of(self, kind: str, values: Values) -> dict:
        """Returns the given or default value by word; `kind` is "directive", "wait" or "limit"."""
        return {key: self.given[kind].get(key, default) for key, (_, default) in values.items()}

    # ---- mistakes ----------------------------------------------------------------------------------

    def report(self, line_number: int, why: str) -> None:
        """Records a mistake of a line; the same mistake of the same line is kept once."""
        if (line_number, why) not in self.mistakes:
            self.mistakes.append((line_number, why))

    def report_errors(self, line_number: int, action: Callable[..., T], *args: object) -> T | None:
        """Calls `action` and returns its result; a ValueError is recorded as a mistake and gives None."""
        try:
            return action(*args)
        except DependentLineError:
            pass
        except ValueError as error:
            self.report(line_number, str(error))
        return None

    def declare(self, line_number: int, kind: str, key: str) -> None:
        """Records the line that declares a name; raises ValueError if an earlier line has declared it."""
        first_line = self.first_lines.setdefault((kind, key), line_number)
        if first_line != line_number:
            raise ValueError(f"{kind} {key} stands already in line {first_line}")

    # ---- lines -------------------------------------------------------------------------------------

    def directive(self, line_number: int, line: str) -> None:
        """Handles one line of the file; raises ValueError for a mistake."""
        try:
            parts = shlex.split(line, comments=True)
        except ValueError as error:
            raise ValueError(f"can't be read: {error}") from None
        if not parts:
            return
        word, *rest = parts
        if word in self.known["directive"]:
            self.declare(line_number, "directive", word)
            self.value(word, "directive", word, rest)
        elif word in ("wait", "limit") and self.known[word]:
            if not rest or rest[0] not in self.known[word]:
                raise ValueError(
                    f"no such {word}: {' '.join(rest[:1]) or 'nothing'}; there are "
                    f"{', '.join(sorted(self.known[word]))}"
                )
            self.declare(line_number, word, rest[0])
            self.value(f"{word} {rest[0]}", word, rest[0], rest[1:])
        elif word in self.words:
            self.words[word](line_number, rest, self)
        elif word in self.deferred:
            self._deferred_lines.append((line_number, word, rest))
        else:
            raise ValueError(self.unknown(word))

    def all_words(self) -> list[str]:
        """Returns the sorted first words that this file may have."""
        groups = [kind for kind in ("limit", "wait") if self.known[kind]]
        return sorted({*self.known["directive"], *self.words, *self.deferred, *groups})

    def unknown(self, word: str) -> str:
        """Returns the message for an unknown word, with the closest known word if there is one."""
        matches = difflib.get_close_matches(word, self.all_words(), 1)
        return f"unknown word {word!r}" + (f"; is {matches[0]!r} meant?" if matches else "")

    def value(self, what: str, kind: str, key: str, rest: list[str]) -> None:
        """Parses and stores the value of a directive, `wait` or `limit`; raises ValueError for a mistake."""
        parser = self.known[kind][key][0]
        if parser is not words and len(rest) != 1:
            raise ValueError(f"{what} takes one value, {len(rest)} stand here")
        self.given[kind][key] = rest if parser is words else self.parse(what, parser, rest[0])

    @staticmethod
    def parse(what: str, parser: Callable[[str], T], text: str) -> T:
        """Parses one word; a ValueError names the directive or option `what` that it belongs to."""
        try:
            return parser(text)
        except ValueError as error:
            raise ValueError(f"{what}: {error}") from None

    def options(
        self, line_number: int, rest: list[str], known: Mapping[str, Callable[[str], object]]
    ) -> dict:
        """Parses pairs of word and value, in any order; records each mistake and leaves its word out."""
        options, seen = {}, set()
        for key, text in zip(rest[::2], [*rest[1::2], None]):
            if key not in known:
                self.report(line_number, f"unknown word {key!r}; there are {', '.join(known)}")
                break  # the words that follow may no longer pair up
            if key in seen:
                self.report(line_number, f"{key} stands twice")
            elif text is None:
                self.report(line_number, f"{key} has no value")
            else:
                try:
                    options[key] = self.parse(key, known[key], text)
                except ValueError as error:
                    self.report(line_number, str(error))
            seen.add(key)
        return options
