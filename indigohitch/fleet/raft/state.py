"""What a member of the ledger is at this moment: term, role, log, members, commit; what its parts share.
No I/O."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping

from ..types import LogEntry, MemberId
from .configuration import Configuration
from .durability import DurabilityTracker
from .interfaces import (
    ApplyEntries,
    HardState,
    LogNote,
    Output,
    RecoveredState,
    RestoreSnapshot,
    RoleChanged,
    SendMessage,
    Snapshot,
    TakeSnapshot,
)
from .log import Log


class Role(enum.Enum):
    FOLLOWER = "follower"
    ASKING = "asking"  # for votes before the vote
    CANDIDATE = "candidate"
    LEADER = "leader"


class RaftState:
    """`bootstrap`: spans `election` and `beat` in tenths of a ms; bytes `log_most` (of entries after a
    snapshot, before the next is taken), `append_most` (of a message), `piece` (of a snapshot); counts
    `inflight` (messages out to a peer) and `proposals_most`."""

    def __init__(
        self,
        me: MemberId,
        held: RecoveredState,
        bootstrap: Mapping[str, int],
        chance: Callable[[], float],
        now: int,
    ) -> None:
        self.member_id, self.settings, self.chance, self.now = me, bootstrap, chance, now
        self.log = Log(held.snapshot, held.entries)
        self.configuration = Configuration(held.snapshot.index, held.snapshot.members)
        self.configuration.appended(held.entries)
        # A ballot is written before the entries of its term; one that is behind them was never promised.
        self.hard_state = max(held.hard_state, HardState(self.log.last_term), key=lambda ballot: ballot.term)
        self.durable = DurabilityTracker(self.log.last)
        self.commit_index = held.snapshot.index
        self.role, self.leader = Role.FOLLOWER, None
        self.told = (self.role, self.hard_state.term, self.leader)
        self.heard = now - 2 * bootstrap["election"]  # when a leader was last heard
        self.election_due = 0
        self.snapping = False  # a snapshot of our own is being taken
        self.out: list[Output] = []
        self.wait_anew()

    @property
    def term(self) -> int:
        return self.hard_state.term

    def wait_anew(self) -> None:
        """Until this member asks for votes: an election's time, up to twice as long by chance, so that few
        ask at once (Ongaro and Ousterhout 2014, 5.2)."""
        self.election_due = self.now + int(self.settings["election"] * (1 + self.chance()))

    @property
    def led(self) -> bool:
        """A leader was heard within the shortest election's time, or this is one: no vote is given now, and
        no term moved by who asks for one, so that a member that comes back doesn't unseat a leader
        (dissertation, 4.2.3)."""
        return self.role is Role.LEADER or (
            self.leader is not None and self.now - self.heard < self.settings["election"]
        )

    # ---- saying and writing ------------------------------------------------------------------------

    def send(self, to: MemberId, word) -> None:
        self.out.append(SendMessage(to, word))

    def promise(self, to: MemberId, word) -> None:
        """To be sent once all that was put out so far is written; with a disk out of order never."""
        durable = self.durable
        if durable.failed:
            return
        if durable.done >= durable.number:
            self.send(to, word)
        else:
            durable.promises.append((durable.number, SendMessage(to, word)))

    def note(self, event: str, **fields) -> None:
        self.out.append(LogNote(event, fields))

    def be(self, role: Role, leader: MemberId | None) -> None:
        if (role, self.term, leader) != self.told:
            self.role, self.leader, self.told = role, leader, (role, self.term, leader)
            self.out.append(RoleChanged(role.value, self.term, leader))

    def vote(self, term: int, who: MemberId | None) -> None:
        """Term and vote, to the disk too."""
        self.hard_state = HardState(term, who)
        self.out += self.durable.write(self.hard_state, 0, (), self.log.last)

    def store(self, cut: int, entries: tuple[LogEntry, ...]) -> None:
        """Entries to the log's end, after it was cut from `cut` on (0: not)."""
        if cut:
            if cut <= self.commit_index:
                raise ValueError(f"entry {cut} was committed and is to be void")
            self.log.cut(cut)
            self.configuration.cut(cut)
        self.log.append(entries)
        self.configuration.appended(entries)
        self.out += self.durable.write(None, cut, entries, self.log.last)

    def commit_to(self, index: int) -> None:
        if index <= self.commit_index:
            return
        self.out.append(ApplyEntries(self.log.some(self.commit_index + 1, index)))
        self.commit_index = index
        self.compact()

    # ---- snapshots ---------------------------------------------------------------------------------

    def compact(self) -> None:
        """Memory and disk are bounded: the state machine takes the place of a log that has grown."""
        if (
            self.log.grown > self.settings["log_most"]
            and self.commit_index > self.log.snapshot.index
            and not (self.snapping or self.durable.failed or self.durable.installing)
        ):
            self.snapping = True
            self.out.append(
                TakeSnapshot(
                    self.commit_index,
                    self.log.term(self.commit_index),
                    self.configuration.at(self.commit_index),
                )
            )

    def install(self, snap: Snapshot) -> None:
        """In place of a log that is behind it."""
        self.log.replace(snap)
        self.configuration.replace(snap.index, snap.members)
        self.commit_index, self.snapping = snap.index, False
        self.durable.install(snap.index)
        if not self.durable.failed:
            self.out.append(RestoreSnapshot(snap))

    def snapped(self, snap: Snapshot) -> None:
        self.durable.snapped(snap.index)
        if snap.index > self.log.snapshot.index:
            self.snapping = False
            self.log.snapped(snap, self.settings["log_most"] // 2)
            self.configuration.snapped(self.log.base)
            self.compact()

    def disk_back(self) -> None:
        """All that the disk doesn't hold for sure is written anew."""
        if not self.durable.failed:
            return
        self.durable.failed = self.snapping = False
        if self.durable.installing:
            self.out.append(RestoreSnapshot(self.log.snapshot))
        first = max(self.durable.stable, self.log.snapshot.index if self.durable.installing else 0) + 1
        self.out += self.durable.write(
            self.hard_state, first, self.log.some(first, self.log.last), self.log.last
        )
        self.compact()
