"""The actions of this process: each is stamped under a valid lease and recorded before it is taken.

`ActionChain` is the interfaces.ActionRecorder that the other works use.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ...errors import UnavailableError
from ..state_machine import ReplicatedStateMachine
from ..types import Lease, Stamp
from .chain import Chain
from .files import ChainStore

# Kinds of actions whose record is synced to the disk before the action is taken, so that it survives a loss
# of power: no lease bounds their effects.  A piece of a batch that was started may have run, and the log must
# show who passed on what a member held.  Records of all other kinds are written before the action, so that
# they survive the process, and are synced with the next turn (100 ms).
DURABLE_KINDS = frozenset({"batches.start"})
MAX_VERSIONS = 8  # versions whose actions `status` summarizes; the records hold all


class ActionChain:
    """Stamps the actions of one process and appends them to the record chain of its incarnation."""

    def __init__(
        self,
        member: str,
        lease: Callable[[int], Lease | None],
        state_machine: ReplicatedStateMachine,
        store: ChainStore,
        report_error: Callable[[UnavailableError], None],
        durable_kinds: frozenset[str] = DURABLE_KINDS,
        fleet_time: Callable[[int], int] = lambda now: now,
    ) -> None:
        """Creates an empty chain, which starts with the first action.

        `lease(now)` returns the lease to act under, as Membership.lease does.  `report_error` is called with
        each error that an operator should know of.  Records of `durable_kinds` are synced before the action.
        A function that converts the process's clock to the member's estimate of fleet time may be given.
        """
        self.member = member
        self.lease = lease
        self.state_machine = state_machine
        self.store = store
        self.report_error = report_error
        self.durable_kinds = durable_kinds
        self.fleet_time = fleet_time
        self.chain: Chain | None = None
        self.synced_head: tuple[int, int, bytes] | None = None  # `head()` when it was last synced to the disk
        self.counts: Counter[str] = Counter()  # by kind of action; also `refused` and `unwritten`
        # By version acted on: number of actions, fleet time of the first and of the last.
        self.activity: dict[int, list[int]] = {}

    @property
    def number(self) -> int:
        """The number of actions that this incarnation has stamped, for RenewLease.acts."""
        return self.chain.number if self.chain is not None else 0

    def stamp(self, now: int, kind: str, about: bytes) -> Stamp | None:
        """Records an action and returns its stamp.

        Returns None if this member may not act now: it has no lease, or the record can't be written.  `now`
        must be read right before the call.  A process that is paused between the call and the action may
        still act after its lease has expired, which can't be prevented here (docs/audit.md).
        """
        lease = self.lease(now)
        if lease is None:
            self.counts["refused"] += 1
            return None
        return self._record(now, kind, about, lease)

    def _record(self, now: int, kind: str, about: bytes, lease: Lease) -> Stamp | None:
        if self.chain is None or self.chain.incarnation != lease.incarnation:
            self.chain = Chain(self.member, lease.incarnation)
        record = self.chain.make_record(
            self.state_machine.term,
            self.state_machine.index,
            kind,
            about,
            self.fleet_time(now),
            lease.remaining(now),
        )
        try:
            self.store.append(record, kind in self.durable_kinds)
        except OSError as error:
            self.counts["unwritten"] += 1
            self.report_error(
                UnavailableError(
                    f"could not record an action, so it was not taken: {error.strerror}",
                    str(self.store.folder),
                    "free space on that disk; actions then resume by themselves",
                )
            )
            return None
        self.chain.append(record)
        self.counts[kind] += 1
        span = self.activity.setdefault(self.state_machine.parts["members"].version, [0, record.at, 0])
        span[0] = span[0] + 1
        span[2] = record.at
        if len(self.activity) > MAX_VERSIONS:
            del self.activity[min(self.activity)]
        return record.stamp

    def close(self) -> None:
        """Syncs the records to the disk and closes the store; a sync that fails is reported only."""
        self.sync()
        self.store.close()

    def sync(self) -> bool:
        """Syncs all records to the disk; returns False if that failed, and the next call tries again."""
        try:
            self.store.sync()
        except OSError as error:
            self._report_sync_error(error)
            return False
        self.synced_head = self.head()
        return True

    def start_sync(self) -> None:
        """Starts to sync all records to the disk; sets `synced_head` once that is done."""
        target = self.head()
        if target == self.synced_head or target is None:
            return

        def done(error: OSError | None) -> None:
            if error is not None:
                self._report_sync_error(error)
            elif self.synced_head is None or target[:2] > self.synced_head[:2]:
                self.synced_head = target

        self.store.start_sync(done)

    def _report_sync_error(self, error: OSError) -> None:
        self.report_error(
            UnavailableError(
                f"could not sync recorded actions to the disk: {error.strerror}",
                str(self.store.folder),
                "free space on that disk, or check its health",
            )
        )

    def head(self) -> tuple[int, int, bytes] | None:
        """Returns incarnation, number and digest of the last record; None before the first action."""
        chain = self.chain
        return (chain.incarnation, chain.number, chain.head) if chain is not None else None
