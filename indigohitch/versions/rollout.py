"""Staged rollout: a version goes to some relays first, and is rolled back where it harms. No I/O."""

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

STAGED_BY, HALTED_BY = "stage", "halt"  # values of PinRecord.by for pins that no operator set
# Wait after a first halt, and the longest: within an hour, an operator can look at it.
HALT_WAIT_TICKS, MAX_HALT_WAIT_TICKS = 60 * SECOND, 3600 * SECOND


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

    def rollback(self, now: int, which: str | int, by: str, set_aside: frozenset[str]) -> object:
        """Publishes that version as amended, and pins it."""


class StagedRollout:
    """Stages the publisher's versions: canary relays get the current one, the others stay at the baseline."""

    def __init__(self, publisher: RolloutTarget) -> None:
        self.publisher = publisher
        self.analysis: CanaryAnalysis | None = None  # None: no rollout is under way
        self.baseline: Version | None = None  # the version that the other relays stay at
        self.canaries: frozenset[str] = frozenset()
        self.backoff = HaltBackoff(HALT_WAIT_TICKS, MAX_HALT_WAIT_TICKS)

    def target(self, relay: str) -> Version:
        """Returns the version that this relay is to have."""
        if self.analysis is None or relay in self.canaries:
            return self.publisher.current
        return self.baseline

    def begin(self, now: int) -> None:
        """Begins a rollout; to be called before the version is made that is to go out in stages.

        The relays whose names sort first get it first. Raises UnavailableError while there is nothing to go
        back to, a pin stands, or the wait after a halt has not passed; OSError if the store can't write.
        """
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
        """Ends the rollout, and its pin in the store; raises OSError."""
        if self.analysis is not None:
            self.analysis, self.canaries = None, frozenset()
            self.publisher.store.pin(0, "", 0)

    def amend_baseline(self, now: int) -> None:
        """Amends the baseline for new facts about backends, as a version with a number of its own."""
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
        """Takes, once a second, each relay's counts since then; halts or advances. Raises OSError."""
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
        """Returns the sum of one group; only relays that have reached their version count."""
        total = RequestCounts(0, 0)
        for relay, count in counts.items():
            session = self.publisher.sessions.get(relay)
            if session is not None and session.in_sync and (relay in self.canaries) is canaries:
                total = total + count
        return total

    def halt(self, now: int) -> None:
        """Rolls all relays back to the baseline and delays further rollouts; raises OSError."""
        publisher, baseline, analysis = self.publisher, self.baseline, self.analysis
        harmful = publisher.current.root.digest
        publisher.rollback(now, baseline.number, HALTED_BY, frozenset({"blast"}))
        self.backoff.halt(now, harmful)
        publisher.log_event("push_halted", to=baseline.number, likelihood=analysis.p_values[-1])

    def advance(self, verdict: Verdict) -> None:
        """Gives more relays the new version, and ends the rollout if all have it."""
        self.canaries = frozenset(self.analysis.updated_relays())
        if verdict is Verdict.DONE:
            self.end()
        for session in self.publisher.sessions.values():
            self.publisher.assign(session)
