"""The folder of a member: its lock, its identity, and its content when the process starts."""

from __future__ import annotations

from ...errors import InvalidDataError, UnavailableError
from ..types import MemberId
from . import identity as identity_file
from .files import FileSystem
from .identity import Identity
from .records import CorruptStorageError
from .recovery import PARTIAL_SUFFIX, RecoveryResult, recover


class Folder:
    """The folder of one member; all methods may raise OSError as well."""

    def __init__(self, files: FileSystem, path: str, fleet: str, name: str) -> None:
        self.files = files
        self.path = path
        self.identity = Identity(fleet, name)
        self.lock = -1

    def take(self) -> None:
        """Locks the folder until `leave` or the end of this process; raises UnavailableError."""
        self.files.make_folder(self.path)
        try:
            self.lock = self.files.lock_file(f"{self.path}/lock")
        except BlockingIOError:
            raise UnavailableError(
                "another process holds this folder",
                self.path,
                "stop that process, or give this member a folder of its own",
            ) from None

    def leave(self) -> None:
        """Releases the lock."""
        if self.lock >= 0:
            self.files.close(self.lock)
            self.lock = -1

    def read(self) -> RecoveryResult | None:
        """Recovers the log and returns it; None for a folder without a member.

        Raises InvalidDataError for the folder of another member, CorruptStorageError for a damaged one.
        """
        names = self.files.list_names(self.path)
        for name in names:
            if name.endswith(PARTIAL_SUFFIX):
                self.files.remove(f"{self.path}/{name}")
        if "identity" in names:
            path = f"{self.path}/identity"
            identity = identity_file.decode(self.files.read(path), path)
            if (identity.fleet, identity.name) != (self.identity.fleet, self.identity.name):
                raise InvalidDataError(
                    f"the folder belongs to member {identity.name} of fleet {identity.fleet}",
                    path,
                    "give this member a folder of its own",
                )
            self.identity = identity
        found = recover(self.files, self.path)
        if not self.identity.number:
            self._remove_incomplete(found)
            return None
        if not found.segments or not found.snapshots:
            raise CorruptStorageError(
                "the identity file is present, but the segments or snapshots are missing", self.path
            )
        return found

    def _remove_incomplete(self, found: RecoveryResult) -> None:
        """Removes the files of an initialization that a crash interrupted; nothing was acknowledged yet.

        Raises CorruptStorageError if they hold entries, a term or a snapshot.
        """
        if (
            found.recovered_state.snapshot.index
            or found.recovered_state.entries
            or found.recovered_state.hard_state.term
        ):
            raise CorruptStorageError("a log is present, but the identity file is missing", self.path)
        for path in [segment.path for segment in found.segments] + found.snapshots:
            self.files.remove(path)

    def _replace_identity(self, identity: Identity) -> None:
        """Replaces the identity file in the loop's thread: rare, and nothing may continue before it."""
        self.files.write_atomically(f"{self.path}/identity", identity_file.encode(identity))
        self.identity = identity

    def set_number(self, number: int, founders: tuple[str, ...]) -> None:
        """Stores the number of this member and the names of the first voters, with fsync."""
        old = self.identity
        self._replace_identity(Identity(old.fleet, old.name, number, founders, old.seen_numbers, old.form))

    def record_seen_number(self, member: MemberId) -> None:
        """Stores another member's number if it is the highest seen, before its messages are handled."""
        if member.number > self.identity.seen_numbers.get(member.name, 0):
            old = self.identity
            seen_numbers = old.seen_numbers | {member.name: member.number}
            self._replace_identity(
                Identity(old.fleet, old.name, old.number, old.founders, seen_numbers, old.form)
            )
