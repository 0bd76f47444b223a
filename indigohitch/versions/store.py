"""Versions on a disk: one file of records with checksums, begun anew with a snapshot.

A record is on the disk before its version is sent to anyone.  So a crash can leave only the last record
unfinished; it is cut away, and no relay has heard of it.  Anything else that can't be read is harm."""

from __future__ import annotations

from collections.abc import Iterable

from ..encoding.rows import Row
from ..fleet.storage.files import FileSystem
from .history import VersionHistory
from .store_records import Begun, Harmed, Made, More, Named, Pinned, frames, read, version_rows
from .tables import Root
from .terms import SliceLines, Version

NAME, PART = "versions-", ".part"
SIZE = 16 << 20  # then it is begun anew: some ten thousand small versions


class Store:
    """Raises OSError besides what is said; then nothing of that call is kept, and the next one begins a new
    file."""

    def __init__(self, files: FileSystem, folder: str, size: int = SIZE) -> None:
        self.files, self.folder, self.size = files, folder, size
        self.history, self.pinned = VersionHistory(), None
        self.root, self.fd, self.path, self.good, self.number = Root(), -1, "", 0, 0

    def open(self, last: int | None = None) -> None:
        """Reads what is there, cuts a torn tail.  Raises Harmed."""
        self.history = VersionHistory(last) if last is not None else VersionHistory()
        self.history.retains_all = True
        self.files.make_folder(self.folder)
        names = [name for name in self.files.list_names(self.folder) if name.startswith(NAME)]
        for name in [name for name in names if name.endswith(PART)]:
            self.files.remove(f"{self.folder}/{name}")  # a crash came before it was whole
        names = [name for name in names if not name.endswith(PART)]
        if not names:
            self.begin()
            return
        self.path = f"{self.folder}/{names[-1]}"
        data = self.files.read(self.path)
        contents = read(data, self.path)
        rows, self.good = contents.rows, contents.good
        if not rows or not isinstance(rows[0], Begun) or len(rows) <= rows[0].records:
            raise Harmed("its snapshot is not whole", self.path)
        self.replay(rows[1:])
        if self.good < len(data):
            self.files.truncate(self.path, self.good)
        self.number = int(names[-1][len(NAME) :])
        self.fd = self.files.open_for_append(self.path)
        for name in names[:-1]:
            self.files.remove(f"{self.folder}/{name}")

    def replay(self, rows: Iterable[Row]) -> None:
        changes: dict[int, dict[str, float]] = {}
        for row in rows:
            if isinstance(row, More):
                changes |= lines_by_slice(row.changes)
            elif isinstance(row, Made):
                self.root = self.root.changed(changes | lines_by_slice(row.changes))
                changes = {}
                if self.root.digest != row.digest:
                    raise Harmed(f"version {row.number} has another digest than its lines", self.path)
                self.history.add(Version(row.number, self.root, row.parent, row.cause, row.at))
            elif isinstance(row, Named):
                self.history.names.pop(row.name, None)
                if row.number in self.history.by_number:
                    self.history.names[row.name] = row.number
            elif isinstance(row, Pinned):
                self.pinned = row if row.number else None
                self.history.pinned = {row.number} if row.number else set()

    # ---- writing -----------------------------------------------------------------------------------

    def add(self, version: Version) -> None:
        """On the disk when it returns; only then may it be sent."""
        self.append(version_rows(version, self.root))
        self.root = version.root
        self.history.add(version)

    def name(self, name: str, number: int) -> None:
        """0 takes it away.  Raises Unfit."""
        if number:
            was = self.history.names.get(name)
            self.history.name(name, number)
            try:
                self.append([Named(name, number)])
            except OSError:
                self.history.names.pop(name)
                self.history.names |= {name: was} if was else {}
                raise
            return
        self.append([Named(name, 0)])
        self.history.unname(name)

    def pin(self, number: int, by: str, at: int) -> None:
        row = Pinned(number, by, at)
        self.append([row])
        self.pinned = row if number else None
        self.history.pinned = {number} if number else set()

    def append(self, rows: list[Row]) -> None:
        if self.fd < 0 or self.good > self.size:
            self.begin()
        data = frames(rows)
        try:
            view = memoryview(data)
            while view:
                view = view[self.files.write(self.fd, view) :]
            self.files.fsync(self.fd)
        except OSError:
            self.close()  # what of it reached the disk is not known: a new file tells
            raise
        self.good += len(data)

    def begin(self) -> None:
        """All that is kept into a file of its own, whole or not at all; then the old one goes."""
        rows: list[Row] = []
        before = Root()
        for version in self.history.by_number.values():
            rows += version_rows(version, before)
            before = version.root
        rows += [Named(name, number) for name, number in self.history.names.items()]
        rows += [self.pinned] if self.pinned is not None else []
        data = frames([Begun(len(rows)), *rows])
        path = f"{self.folder}/{NAME}{self.number + 1:09}"
        self.files.write_atomically(path, data)
        old = self.path
        self.close()
        self.path, self.number, self.good = path, self.number + 1, len(data)
        self.fd = self.files.open_for_append(path)
        self.root = before
        if old:
            try:
                self.files.remove(old)
            except OSError:
                pass  # the next start takes it away

    def close(self) -> None:
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            self.files.close_quietly(fd)


def lines_by_slice(changes: Iterable[SliceLines]) -> dict[int, dict[str, float]]:
    return {one.slice: one.lines for one in changes}
