"""A staged rollout: a version goes to some relays first, and back from them where it harms.  No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ..errors import UnavailableError
from ..net.clock import SECOND
from .amends import amended
from .canary import CanaryAnalysis, HaltBackoff, RequestCounts, Verdict
from .checks import Facts
from .history import VersionHistory, VersionStore
from .pin import Pin
from .session import Session
from .terms import Version

STAGED_BY, HALTED_BY = "stage", "halt"  # who pinned it
# After a halt, the next version goes out after that long at first; an operator is awake in the longest.
WAIT, MOST_WAIT = 60 * SECOND, 3600 * SECOND


class RolloutTarget(Protocol):
    """What a rollout needs of the publisher whose versions it stages (publisher.VersionPublisher)."""

    store: VersionStore
    history: VersionHistory
    facts: Facts
    current: Version | None
    pin: Pin | None
    sessions: dict[str, Session]
    log_event: Callable[..., None]

    def assign(self, session: Session) -> None:
        """Gives the session the version that its relay is to have now."""

    def rollback(self, now: int, which: str | int, by: str, but: frozenset[str]) -> object:
        """To that version as amended, and pinned there."""


class StagedRollout:
    def __init__(self, publisher: RolloutTarget) -> None:
        self.publisher = publisher
        self.analysis: CanaryAnalysis | None = None  # None: no rollout is under way
        self.baseline: Version | None = None  # what the other relays stay at
        self.canaries: frozenset[str] = frozenset()
        self.backoff = HaltBackoff(WAIT, MOST_WAIT)

    def target(self, relay: str) -> Version:
        """The version that this relay is to have."""
        if self.analysis is None or relay in self.canaries:
            return self.publisher.current
        return self.baseline

    def begin(self, now: int) -> None:
        """Before the version is made that is to go out in stages, to those first whose names come first.
        Raises NotNow while there is nothing to go back to; OSError."""
        publisher = self.publisher
        if publisher.current is None or publisher.pin is not None:
            raise UnavailableError(
                "nothing to go back to, or a pin stands", "", "push without stages, or unpin first"
            )
        if now < self.backoff.until:
            raise UnavailableError("a push was halted just now", retry_after_ticks=self.backoff.until - now)
        if self.analysis is None:
            self.baseline = publisher.current
        publisher.store.pin(self.baseline.number, STAGED_BY, now)
        self.analysis = CanaryAnalysis(sorted(publisher.sessions))
        self.canaries = frozenset(self.analysis.updated_relays())

    def end(self) -> None:
        if self.analysis is not None:
            self.analysis, self.canaries = None, frozenset()
            self.publisher.store.pin(0, "", 0)

    def amend_baseline(self, now: int) -> None:
        """News of backends came: what the others stay at is made fit, under a number of its own."""
        publisher = self.publisher
        found = amended(self.baseline, self.baseline.root, publisher.facts)
        if found.root == self.baseline.root or found.faults:
            return
        version = Version(
            publisher.history.newest.number + 1,
            found.root,
            self.baseline.version_id,
            "amended while a push is staged",
            now,
        )
        publisher.store.add(version)
        self.baseline = version
        publisher.store.pin(version.number, STAGED_BY, now)

    def look(self, now: int, counts: Mapping[str, RequestCounts]) -> Verdict | None:
        """Once a second; `counts`: since the last look, by relay.  Raises OSError."""
        if self.analysis is None:
            return None
        stage = self.analysis.stage
        verdict = self.analysis.look(self.counted(counts, True), self.counted(counts, False))
        if verdict is Verdict.HALTED:
            self.halt(now)
        elif verdict is Verdict.DONE or self.analysis.stage != stage:
            self.advance(verdict)
        return verdict

    def counted(self, counts: Mapping[str, RequestCounts], canaries: bool) -> RequestCounts:
        """The sum of one side.  Only relays that have come to their version count."""
        total = RequestCounts(0, 0)
        for relay, count in counts.items():
            session = self.publisher.sessions.get(relay)
            if session is not None and session.in_sync and (relay in self.canaries) is canaries:
                total = total + count
        return total

    def halt(self, now: int) -> None:
        publisher, baseline, analysis = self.publisher, self.baseline, self.analysis
        harmful = publisher.current.root.digest
        publisher.rollback(now, baseline.number, HALTED_BY, frozenset({"blast"}))
        self.backoff.halt(now, harmful)
        publisher.log_event("push_halted", to=baseline.number, likelihood=analysis.p_values[-1])

    def advance(self, verdict: Verdict) -> None:
        self.canaries = frozenset(self.analysis.updated_relays())
        if verdict is Verdict.DONE:
            self.end()
        for session in self.publisher.sessions.values():
            self.publisher.assign(session)
