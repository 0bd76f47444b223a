"""Acts of this process: each is stamped under a valid lease and recorded before it is done (ports.Acts)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from ...errors import UnavailableError
from ..state_machine import ReplicatedStateMachine
from ..types import Lease, Stamp
from .chain import Chain
from .files import Store

# Acts whose record must outlive a loss of power, as what follows from them isn't bounded by a lease: a piece
# of a batch that was let go may have run, and who gave on a member's things must be known.  All others are
# written before the act, so that they outlive the process, and are on the disk with the next beat.
FIRM = frozenset({"batches.start"})
SPANS = 8  # versions whose acts are told of in `status`; the records have all


class ActionChain:
    def __init__(
        self,
        me: str,
        lease: Callable[[int], Lease | None],
        state_machine: ReplicatedStateMachine,
        store: Store,
        trouble: Callable[[UnavailableError], None],
        firm: frozenset[str] = FIRM,
        when: Callable[[int], int] = lambda now: now,
    ) -> None:
        """`lease(now)`: work.Membership.lease; `when(now)`: fleet time as this member reckons it; `trouble`
        is told what an operator should know."""
        self.me = me
        self.lease = lease
        self.state_machine = state_machine
        self.store = store
        self.trouble = trouble
        self.firm = firm
        self.when = when
        self.chain: Chain | None = None
        self.safe: tuple[int, int, bytes] | None = None  # the head of what is on the disk
        self.counts: Counter[str] = Counter()  # by kind; `refused`, `unwritten`
        self.spans: dict[int, list[int]] = {}  # by version acted on: acts, when the first, the last

    @property
    def number(self) -> int:
        """Acts stamped by this incarnation: for Renew.acts."""
        return self.chain.number if self.chain is not None else 0

    def stamp(self, now: int, kind: str, about: bytes) -> Stamp | None:
        """None: this member may not act now (no lease, or the record can't be written).  `now` read right
        before: between it and the act the process may be stopped (docs/audit.md, what can't be)."""
        lease = self.lease(now)
        if lease is None:
            self.counts["refused"] += 1
            return None
        return self.recorded(now, kind, about, lease)

    def recorded(self, now: int, kind: str, about: bytes, lease: Lease) -> Stamp | None:
        if self.chain is None or self.chain.incarnation != lease.incarnation:
            self.chain = Chain(self.me, lease.incarnation)
        record = self.chain.next(
            self.state_machine.term,
            self.state_machine.index,
            kind,
            about,
            self.when(now),
            lease.remaining(now),
        )
        try:
            self.store.append(record, kind in self.firm)
        except OSError as bad:
            self.counts["unwritten"] += 1
            self.trouble(
                UnavailableError(
                    f"an act can't be recorded, so it isn't done: {bad.strerror}",
                    str(self.store.folder),
                    "make room on that disk; acts go on by themselves",
                )
            )
            return None
        self.chain.take(record)
        self.counts[kind] += 1
        span = self.spans.setdefault(self.state_machine.parts["members"].version, [0, record.at, 0])
        span[0] = span[0] + 1
        span[2] = record.at
        if len(self.spans) > SPANS:
            del self.spans[min(self.spans)]
        return record.stamp

    def close(self) -> None:
        self.sync()
        self.store.close()

    def sync(self) -> bool:
        """All acts so far are on the disk; False where that failed: it is tried again."""
        try:
            self.store.sync()
        except OSError as bad:
            self.unsafe(bad)
            return False
        self.safe = self.head()
        return True

    def sync_soon(self) -> None:
        """With each beat; `safe` follows."""
        upto = self.head()
        if upto == self.safe or upto is None:
            return

        def done(bad: OSError | None) -> None:
            if bad is not None:
                self.unsafe(bad)
            elif self.safe is None or upto[:2] > self.safe[:2]:
                self.safe = upto

        self.store.sync_soon(done)

    def unsafe(self, bad: OSError) -> None:
        self.trouble(
            UnavailableError(
                f"acts are not on the disk: {bad.strerror}",
                str(self.store.folder),
                "make room on that disk, or look at its health",
            )
        )

    def head(self) -> tuple[int, int, bytes] | None:
        """Incarnation, number and digest of the last record."""
        chain = self.chain
        return (chain.incarnation, chain.number, chain.head) if chain is not None else None
