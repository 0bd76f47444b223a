"""Versions on a disk: one file of records with checksums, begun anew with a snapshot.

A record is on the disk before its version is sent to anyone.  So a crash can leave only the last record
unfinished; it is cut away, and no relay has heard of it.  Anything else that can't be read is harm."""

from __future__ import annotations

from collections.abc import Iterable

from ..errors import Unreadable
from ..fleet.disk.files import Files
from ..packed.frames import HEAD, Broken, Kinds
from ..packed.rows import Row
from .keeping import Keeping
from .tables import Root, difference
from .terms import Mark, Version

MAGIC, NAME, PART = b"IHvt", "versions-", ".part"
SIZE = 16 << 20  # then it is begun anew: some ten thousand small versions


class Made(Row, frozen=True):
    """A version, as slices that differ from those of the version before it (in a file's first: from none)."""

    number: int
    parent: Mark | None
    cause: str
    at: int
    digest: bytes
    changes: tuple[tuple[int, dict[str, float]], ...]


class More(Row, frozen=True):
    """Changes that come before those of the next Made: no record is larger than a frame takes."""

    changes: tuple[tuple[int, dict[str, float]], ...]


class Named(Row, frozen=True):
    """Number 0 takes the name away."""

    name: str
    number: int


class Pinned(Row, frozen=True):
    """Number 0: unpinned."""

    number: int
    by: str
    at: int


class Begun(Row, frozen=True):
    """First in a file; `records`: of the snapshot that follows, which was written with it."""

    records: int


RECORDS = Kinds(MAGIC, 1, [Begun, Made, More, Named, Pinned])
BATCH = 20_000  # slices in a record


class Harmed(Unreadable):
    remedy = "take the file away: relays are then set whole once, and the named versions are lost"


def frames(rows: Iterable[Row]) -> bytes:
    return b"".join(RECORDS.frame(row) for row in rows)


def made(version: Version, before: Root) -> list[Row]:
    changes = [
        (slice, table.lines if table is not None else {})
        for slice, _, table in difference(before, version.root)
    ]
    rows: list[Row] = []
    while len(changes) > BATCH:
        rows.append(More(tuple(changes[:BATCH])))
        changes = changes[BATCH:]
    return [
        *rows,
        Made(version.number, version.parent, version.cause, version.at, version.root.digest, tuple(changes)),
    ]


def read(data: bytes, where: str) -> tuple[list[Row], int]:
    """Rows, and how much of the file is good.  Raises Harmed."""
    rows, at = [], 0
    while at < len(data):
        try:
            row, end = record(data, at)
            rows.append(row)
        except Broken as broken:
            if follows(data, at):
                raise Harmed(broken.what, f"{where}, byte {at}") from None
            break
        at = end
    return rows, at


def record(data: bytes, at: int) -> tuple[Row, int]:
    """The one that begins there, and where it ends; raises Broken."""
    if len(data) - at < HEAD:
        raise Broken("it ends within its head")
    protocol, kind, descriptors, length, checksum = RECORDS.head(data, at)
    end = at + HEAD + length
    if end > len(data) or descriptors:
        raise Broken("it ends early, or its head was changed")
    return RECORDS.body(data[at + HEAD : end], protocol, kind, checksum), end


def follows(data: bytes, at: int) -> bool:
    """Whether a record that can be read begins after the bad one: then it was no crash."""
    while (at := data.find(MAGIC, at + 1)) >= 0:
        try:
            if len(data) - at < HEAD:
                return False
            record(data, at)
            return True
        except Broken:
            pass
    return False


class Store:
    """Raises OSError besides what is said; then nothing of that call is kept, and the next one begins a new
    file."""

    def __init__(self, files: Files, folder: str, size: int = SIZE) -> None:
        self.files, self.folder, self.size = files, folder, size
        self.keeping, self.pinned = Keeping(), None
        self.root, self.fd, self.path, self.good, self.number = Root(), -1, "", 0, 0

    def open(self, last: int | None = None) -> None:
        """Reads what is there, cuts a torn tail.  Raises Harmed."""
        self.keeping = Keeping(last) if last is not None else Keeping()
        self.keeping.patient = True
        self.files.folder(self.folder)
        names = [name for name in self.files.names(self.folder) if name.startswith(NAME)]
        for name in [name for name in names if name.endswith(PART)]:
            self.files.remove(f"{self.folder}/{name}")  # a crash came before it was whole
        names = [name for name in names if not name.endswith(PART)]
        if not names:
            self.begin()
            return
        self.path = f"{self.folder}/{names[-1]}"
        data = self.files.read(self.path)
        rows, self.good = read(data, self.path)
        if not rows or not isinstance(rows[0], Begun) or len(rows) <= rows[0].records:
            raise Harmed("its snapshot is not whole", self.path)
        self.replay(rows[1:])
        if self.good < len(data):
            self.files.cut(self.path, self.good)
        self.number = int(names[-1][len(NAME) :])
        self.fd = self.files.append_to(self.path)
        for name in names[:-1]:
            self.files.remove(f"{self.folder}/{name}")

    def replay(self, rows: Iterable[Row]) -> None:
        changes: dict[int, dict[str, float]] = {}
        for row in rows:
            if isinstance(row, More):
                changes |= dict(row.changes)
            elif isinstance(row, Made):
                self.root = self.root.changed(changes | dict(row.changes))
                changes = {}
                if self.root.digest != row.digest:
                    raise Harmed(f"version {row.number} has another digest than its lines", self.path)
                self.keeping.add(Version(row.number, self.root, row.parent, row.cause, row.at))
            elif isinstance(row, Named):
                self.keeping.names.pop(row.name, None)
                if row.number in self.keeping.order:
                    self.keeping.names[row.name] = row.number
            elif isinstance(row, Pinned):
                self.pinned = row if row.number else None
                self.keeping.standing = {row.number} if row.number else set()

    # ---- writing -----------------------------------------------------------------------------------

    def add(self, version: Version) -> None:
        """On the disk when it returns; only then may it be sent."""
        self.append(made(version, self.root))
        self.root = version.root
        self.keeping.add(version)

    def name(self, name: str, number: int) -> None:
        """0 takes it away.  Raises Unfit."""
        if number:
            was = self.keeping.names.get(name)
            self.keeping.name(name, number)
            try:
                self.append([Named(name, number)])
            except OSError:
                self.keeping.names.pop(name)
                self.keeping.names |= {name: was} if was else {}
                raise
            return
        self.append([Named(name, 0)])
        self.keeping.unname(name)

    def pin(self, number: int, by: str, at: int) -> None:
        row = Pinned(number, by, at)
        self.append([row])
        self.pinned = row if number else None
        self.keeping.standing = {number} if number else set()

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
        for version in self.keeping.order.values():
            rows += made(version, before)
            before = version.root
        rows += [Named(name, number) for name, number in self.keeping.names.items()]
        rows += [self.pinned] if self.pinned is not None else []
        data = frames([Begun(len(rows)), *rows])
        path = f"{self.folder}/{NAME}{self.number + 1:09}"
        self.files.whole(path, data)
        old = self.path
        self.close()
        self.path, self.number, self.good = path, self.number + 1, len(data)
        self.fd = self.files.append_to(path)
        self.root = before
        if old:
            try:
                self.files.remove(old)
            except OSError:
                pass  # the next start takes it away

    def close(self) -> None:
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            try:
                self.files.close(fd)
            except OSError:
                pass
