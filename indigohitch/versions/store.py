"""Versions on disk: one file of records with checksums; when it is full, a new one begins with a snapshot.

A record is on disk before its version is sent to any relay. So a crash can leave only the last record
unfinished; it is cut off, as no relay has received that version. Any other unreadable record is damage.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..encoding.rows import Row
from ..fleet.storage.files import FileSystem
from .history import VersionHistory
from .store_records import (
    Begun,
    InvalidVersionFileError,
    Made,
    More,
    Named,
    Pinned,
    frames,
    read,
    version_rows,
)
from .tables import Root
from .terms import SliceLines, Version

FILE_PREFIX, PART_SUFFIX = "versions-", ".part"
MAX_FILE_BYTES = 16 << 20  # then a new file begins, after some ten thousand small versions


class Store:
    """A VersionStore on disk.

    Any call may raise OSError; then nothing of that call is kept, and the next one begins a new file.
    """

    def __init__(self, files: FileSystem, folder: str, size: int = MAX_FILE_BYTES) -> None:
        self.files, self.folder, self.size = files, folder, size
        self.history, self.pinned = VersionHistory(), None
        self.root, self.fd, self.path, self.valid_bytes, self.number = Root(), -1, "", 0, 0

    def open(self, last: int | None = None) -> None:
        """Reads the newest file, cuts off an unfinished record; raises InvalidVersionFileError for damage."""
        self.history = VersionHistory(last) if last is not None else VersionHistory()
        self.history.retains_all = True
        self.files.make_folder(self.folder)
        names = [name for name in self.files.list_names(self.folder) if name.startswith(FILE_PREFIX)]
        for name in [name for name in names if name.endswith(PART_SUFFIX)]:
            self.files.remove(f"{self.folder}/{name}")  # left by a crash while it was written
        names = [name for name in names if not name.endswith(PART_SUFFIX)]
        if not names:
            self.begin()
            return
        self.path = f"{self.folder}/{names[-1]}"
        data = self.files.read(self.path)
        contents = read(data, self.path)
        rows, self.valid_bytes = contents.rows, contents.valid_bytes
        if not rows or not isinstance(rows[0], Begun) or len(rows) <= rows[0].records:
            raise InvalidVersionFileError("its snapshot is not whole", self.path)
        self.replay(rows[1:])
        if self.valid_bytes < len(data):
            self.files.truncate(self.path, self.valid_bytes)
        self.number = int(names[-1][len(FILE_PREFIX) :])
        self.fd = self.files.open_for_append(self.path)
        for name in names[:-1]:
            self.files.remove(f"{self.folder}/{name}")

    def replay(self, rows: Iterable[Row]) -> None:
        """Applies records; raises InvalidVersionFileError if a version's digest does not match its lines."""
        changes: dict[int, dict[str, float]] = {}
        for row in rows:
            if isinstance(row, More):
                changes |= lines_by_slice(row.changes)
            elif isinstance(row, Made):
                self.root = self.root.changed(changes | lines_by_slice(row.changes))
                changes = {}
                if self.root.digest != row.digest:
                    raise InvalidVersionFileError(
                        f"version {row.number} has another digest than its lines", self.path
                    )
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
        """Writes the version to disk; only after it returns may the version be sent."""
        self.append(version_rows(version, self.root))
        self.root = version.root
        self.history.add(version)

    def name(self, name: str, number: int) -> None:
        """Names a version; number 0 removes the name. Raises InvalidRequestError as VersionHistory does."""
        if number:
            previous = self.history.names.get(name)
            self.history.name(name, number)
            try:
                self.append([Named(name, number)])
            except OSError:
                self.history.names.pop(name)
                self.history.names |= {name: previous} if previous else {}
                raise
            return
        self.append([Named(name, 0)])
        self.history.unname(name)

    def pin(self, number: int, by: str, at: int) -> None:
        """Writes a pin to disk; number 0 removes it."""
        row = Pinned(number, by, at)
        self.append([row])
        self.pinned = row if number else None
        self.history.pinned = {number} if number else set()

    def append(self, rows: list[Row]) -> None:
        """Writes records and syncs them to disk, in a new file if the present one is too large or closed."""
        if self.fd < 0 or self.valid_bytes > self.size:
            self.begin()
        data = frames(rows)
        try:
            view = memoryview(data)
            while view:
                view = view[self.files.write(self.fd, view) :]
            self.files.fsync(self.fd)
        except OSError:
            self.close()  # it is unknown how much reached the disk, so the next write begins a new file
            raise
        self.valid_bytes += len(data)

    def begin(self) -> None:
        """Writes all that is kept to a new file, whole or not at all, then removes the old file."""
        rows: list[Row] = []
        previous = Root()
        for version in self.history.by_number.values():
            rows += version_rows(version, previous)
            previous = version.root
        rows += [Named(name, number) for name, number in self.history.names.items()]
        rows += [self.pinned] if self.pinned is not None else []
        data = frames([Begun(len(rows)), *rows])
        path = f"{self.folder}/{FILE_PREFIX}{self.number + 1:09}"
        self.files.write_atomically(path, data)
        old = self.path
        self.close()
        self.path, self.number, self.valid_bytes = path, self.number + 1, len(data)
        self.fd = self.files.open_for_append(path)
        self.root = previous
        if old:
            try:
                self.files.remove(old)
            except OSError:
                pass  # the next start removes it

    def close(self) -> None:
        """Closes the file; the next write begins a new one."""
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            self.files.close_quietly(fd)


def lines_by_slice(changes: Iterable[SliceLines]) -> dict[int, dict[str, float]]:
    """Returns the weights by backend of each slice."""
    return {one.slice: one.lines for one in changes}
