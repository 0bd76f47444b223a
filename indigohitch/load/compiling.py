"""Sources into one trace."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..errors import InvalidDataError
from . import trace
from .entry import Request
from .kinds import Kind
from .sources import opened
from .timeline import RULES
from .timeline.order import timeline

ENDINGS = {".har": "har", ".json": "json", ".jsonl": "json"}
FORMATS = "har|json|common|combined, or the words of a LogFormat"


class NothingRead(InvalidDataError):
    """No request at all."""


@dataclass
class Told:
    """What could not be read or was odd, with places; the first MOST are kept by name, all are counted."""

    MOST = 1000
    counts: Counter = field(default_factory=Counter)
    unread: list[str] = field(default_factory=list)
    formats: dict[str, str] = field(default_factory=dict)  # by file: as what it was read
    guessed: list[str] = field(default_factory=list)  # files whose name does not tell that

    def nothing(self, paths: list[str]) -> NothingRead:
        """The error that says so, and how the first file could be read, if anyhow."""
        from .sources import guess

        path, remedy = paths[0], f"name the format: --format {FORMATS}"
        with opened.opened(path) as stream:
            name, count = guess.form(stream)
        if count and name != self.formats[path]:
            remedy = f"--format {name} reads it"
        return NothingRead(
            f"no request; {self.counts['unread']} lines can't be read as {self.formats[path]}",
            ", ".join(paths),
            remedy,
        )

    def reader(self, path: str):
        def unread(place: int, why: str) -> None:
            self.counts["unread"] += 1
            if len(self.unread) < self.MOST:
                self.unread.append(f"{path}:{place}: {why}")

        return unread, lambda name: self.counts.update([name])


def source(path: str, form: str, ends: bool, told: Told, place: int) -> Iterator:
    """The entries of one file; `form`: "har", "json", "common", "combined", a LogFormat, "": by its name,
    else by its first lines."""
    unread, note = told.reader(path)
    plain = opened.plain_name(path)
    stream = opened.opened(path)
    if not form:
        form = next((kind for ending, kind in ENDINGS.items() if plain.endswith(ending)), "")
    if not form:
        from .sources import guess

        form, _ = guess.form(stream)
        told.guessed.append(path)
    told.formats[path] = form
    if form == "har":
        from .sources import har

        entries = har.read(stream, unread, note)
    else:
        from .sources import logs

        entries = logs.read(
            stream, logs.JsonLines() if form == "json" else logs.Formatted(form, ends), unread, note
        )
    for entry in entries:
        entry.file = place
        yield entry


def compiled(
    paths: list[str],
    out: str,
    kind: Kind,
    form: str = "",
    ends: bool = False,
    off: frozenset[str] = frozenset(),
    seed: int = 1,
) -> tuple[trace.Head, Told]:
    """Raises OSError, NothingRead, Unfit for a format that can't be read."""
    told = Told()
    rules = frozenset(RULES) - off
    times = timeline(
        [source(path, form, ends, told, place) for place, path in enumerate(paths)], rules, seed, told.counts
    )
    first = next(times, None)
    if first is None:
        raise told.nothing(paths)
    began, connections = first[0], {}

    def requests() -> Iterator[Request]:
        latest = 0
        for at, entry in [first]:
            yield made(at, entry)
        for at, entry in times:
            latest = max(latest, at - began)  # a rule that is off may let time step back
            yield made(began + latest, entry)

    def made(at: int, entry) -> Request:
        rpc, unsafe = kind(entry.method, entry.target)
        client = (entry.file, entry.client)
        return Request(
            at - began,
            entry.method,
            entry.target,
            rpc,
            unsafe,
            connections.setdefault(client, len(connections)),
            entry.file,
            entry.line,
            entry.status,
            entry.took,
            entry.size,
            entry.body,
            entry.kind,
        )

    head = trace.write(out, requests(), began, paths, told.counts)
    return head, told
