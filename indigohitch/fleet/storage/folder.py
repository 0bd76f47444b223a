"""A member's folder: whose it is, and what it holds at a start."""

from __future__ import annotations

from ...errors import InvalidDataError, UnavailableError
from ..types import MemberId
from . import identity as id
from .files import FileSystem
from .records import CorruptStorageError
from .recovery import PART, RecoveryResult, recover


class Folder:
    """Raises OSError besides what is said."""

    def __init__(self, files: FileSystem, path: str, fleet: str, name: str) -> None:
        self.files, self.path = files, path
        self.identity = id.Identity(fleet, name)
        self.lock = -1

    def take(self) -> None:
        """Until `leave`, or this process' death, it is no other's.  Raises NotNow."""
        self.files.make_folder(self.path)
        try:
            self.lock = self.files.lock_file(f"{self.path}/lock")
        except BlockingIOError:
            raise UnavailableError(
                "another process holds this folder",
                self.path,
                "end it first, or give this member a folder of its own",
            ) from None

    def leave(self) -> None:
        if self.lock >= 0:
            self.files.close(self.lock)
            self.lock = -1

    def read(self) -> RecoveryResult | None:
        """None where no member has been founded on it.  Raises Unreadable, CorruptStorageError."""
        names = self.files.list_names(self.path)
        for name in names:
            if name.endswith(PART):
                self.files.remove(f"{self.path}/{name}")
        if "identity" in names:
            path = f"{self.path}/identity"
            found = id.decode(self.files.read(path), path)
            if (found.fleet, found.name) != (self.identity.fleet, self.identity.name):
                raise InvalidDataError(
                    f"the disk of {found.name} of fleet {found.fleet}",
                    path,
                    "give this member a folder of its own",
                )
            self.identity = found
        found = recover(self.files, self.path)
        if not self.identity.number:
            self.clear(found)
            return None
        if not found.segments or not found.snapshots:
            raise CorruptStorageError("an identity, and not all that belongs to it", self.path)
        return found

    def clear(self, found: RecoveryResult) -> None:
        """After a founding that a crash cut short: nothing was promised yet."""
        if found.held.snapshot.index or found.held.entries or found.held.hard_state.term:
            raise CorruptStorageError("a log and no identity beside it", self.path)
        for path in [segment.path for segment in found.segments] + found.snapshots:
            self.files.remove(path)

    def keep(self, identity: id.Identity) -> None:
        """In place of the one that stood, at once: rare, and nothing may go on before it."""
        self.files.write_atomically(f"{self.path}/identity", id.encode(identity))
        self.identity = identity

    def founded(self, number: int, founders: tuple[str, ...]) -> None:
        """This member has that number from here on."""
        was = self.identity
        self.keep(id.Identity(was.fleet, was.name, number, founders, was.seen_numbers, was.form))

    def record_seen_number(self, who: MemberId) -> None:
        """Another member showed itself under this number: kept before anything is heard of it."""
        if who.number > self.identity.seen_numbers.get(who.name, 0):
            was = self.identity
            met = was.seen_numbers | {who.name: who.number}
            self.keep(id.Identity(was.fleet, was.name, was.number, was.founders, met, was.form))
