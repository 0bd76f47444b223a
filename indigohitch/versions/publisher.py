"""Where versions are made and published to the relays: orders, checks, the store, pins and rollbacks.

Decides; the one thing that it does to the outside is that the store writes a version down before any relay is
told to come to it.  Messages are the caller's to send (Session.due)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .. import interface as face
from . import checks, orders
from .amends import Amended, amended
from .checks import Facts, Fault
from .cost import Planner, Price
from .history import VersionStore
from .pin import Pin
from .rollout import STAGED_BY, StagedRollout
from .session import Session
from .tables import Root
from .terms import Channel, Version

FAULTS_LOGGED = 20


@dataclass(slots=True, frozen=True)
class RollbackPlan:
    """A dry run: what would go out, and what it costs a relay that holds what stands, the cheapest first."""

    amended: Amended
    prices: list[Price]


@dataclass(slots=True, frozen=True)
class Rollback:
    """`version`: what went out; None where a fault stopped it, or nothing was to be sent."""

    amended: Amended
    version: Version | None


class VersionPublisher:
    """`store` may raise OSError: then nothing is sent, and what stood stands.  `log_event(event, **fields)`
    writes a line of the log."""

    def __init__(
        self,
        store: VersionStore,
        facts: Facts,
        channel: Channel,
        log_event: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        self.store, self.history, self.facts = store, store.history, facts
        self.channel, self.log_event = channel, log_event
        self.planner = Planner(channel)
        self.current = self.history.newest  # the last good one
        self.wanted = self.root  # what the module has asked for, also while it is held back
        self.pin: Pin | None = None
        self.rollout = StagedRollout(self)
        self.recover_pin()
        self.faults: list[Fault] = []  # of what was asked last; empty: it went out, or is held
        self.sessions: dict[str, Session] = {}
        self.counted: dict[str, frozenset[bytes]] = {}  # digests that a relay was counted at in the history

    def recover_pin(self) -> None:
        """The pin of before a restart; the baseline of a rollout that was not through is current again."""
        pinned = self.store.pinned
        if pinned is None:
            return
        if pinned.by == STAGED_BY:
            self.current = self.history.get(pinned.number)
        else:
            self.pin = Pin(self.history.get(pinned.number), pinned.by, pinned.at)

    @property
    def root(self) -> Root:
        return self.current.root if self.current is not None else Root()

    # ---- ordinary versions -------------------------------------------------------------------------

    def apply_orders(self, now: int, some: Iterable[face.Order], cause: str) -> Version | None:
        """The module's orders; the version that goes out, if one does.  What a check stops stays asked for,
        and goes with the next orders that cure it.  Raises OSError."""
        changes = orders.carried(self.wanted, some)
        if found := checks.weights(changes):
            self.reject(found, cause)
            return None
        self.wanted = self.wanted.changed(changes)
        return self.publish_wanted(now, cause)

    def update_facts(self, now: int, facts: Facts, cause: str) -> Version | None:
        """News of backends.  Raises OSError."""
        self.facts = facts
        for session in self.sessions.values():
            session.set_guard(facts.guard())
        if self.rollout.analysis is not None:
            self.rollout.amend_baseline(now)
            for session in self.sessions.values():
                self.assign(session)
        return self.publish_wanted(now, cause)

    def publish_wanted(self, now: int, cause: str) -> Version | None:
        """What the module wants, as far as a pin lets it through."""
        if self.pin is None:
            return self.publish(now, self.wanted, cause)
        allowed = self.pin.allowed(self.root, self.wanted, self.facts)
        version = self.publish(now, allowed.root, f"pinned by {self.pin.by}: {cause}")
        if version is not None:
            self.log_event("version_amended", number=version.number, how=allowed.said)
        return version

    def publish(self, now: int, root: Root, cause: str, but: frozenset[str] = frozenset()) -> Version | None:
        """A new version of that content, after the checks but those named.  Raises OSError."""
        self.faults = []
        if self.current is not None and root == self.root:
            return None
        if found := checks.faults(self.root, root, self.facts, but if self.current else but | {"blast"}):
            self.reject(found, cause)
            return None
        newest = self.history.newest
        number = newest.number + 1 if newest is not None else 1
        parent = self.current.version_id if self.current is not None else None
        version = Version(number, root, parent, cause, now)
        self.store.add(version)
        self.current = version
        self.log_event("version", number=version.number, digest=version.root.digest.hex(), cause=cause)
        for session in self.sessions.values():
            self.assign(session)
        return version

    def reject(self, found: list[Fault], cause: str) -> None:
        self.faults = found
        texts = [fault.text() for fault in found[:FAULTS_LOGGED]]
        self.log_event("version_stopped", cause=cause, faults=texts, all=len(found))

    # ---- rollbacks and pins ------------------------------------------------------------------------

    def plan_rollback(self, which: str | int, but: frozenset[str] = frozenset()) -> RollbackPlan:
        """Raises Unfit."""
        found = amended(self.history.get(which), self.root, self.facts, but)
        return RollbackPlan(found, self.planner.prices(self.root, found.root))

    def rollback(self, now: int, which: str | int, by: str, but: frozenset[str] = frozenset()) -> Rollback:
        """To that version as amended, and pinned there: else the module's next orders would undo it.  With
        faults nothing changes.  Raises Unfit; OSError: then it may be pinned at what stands."""
        old = self.history.get(which)
        found = amended(old, self.root, self.facts, but)
        if found.faults:
            self.reject(found.faults, f"rollback to {old.number} by {by}")
            return Rollback(found, None)
        self.rollout.end()
        self.set_pin(Pin(old, by, now))
        version = self.publish(now, found.root, f"rollback to {old.number} by {by}", but)
        if found.said:
            self.log_event("version_amended", number=old.number, how=found.said)
        return Rollback(found, version)

    def pin_current(self, now: int, by: str) -> None:
        """Raises Unfit where nothing stands."""
        self.set_pin(Pin(self.history.get(self.current.number if self.current is not None else 0), by, now))

    def set_pin(self, pin: Pin | None) -> None:
        """Raises OSError; then it is as it was."""
        if pin is not None:
            self.store.pin(pin.to.number, pin.by, pin.at)
        else:
            self.store.pin(0, "", 0)
        self.pin = pin

    def unpin(self, now: int, by: str, but: frozenset[str] = frozenset({"blast"})) -> Version | None:
        """One delta to what the module wants by now, whatever it wanted meanwhile.  It may be far: an
        operator has asked for it.  Raises OSError; then, as after a fault, the pin stands."""
        if self.wanted.digest in self.rollout.backoff.halted and "halted" not in but:
            self.reject([Fault("halted", "all slices", "this very content was halted")], f"unpinned by {by}")
            return None
        version = self.publish(now, self.wanted, f"unpinned by {by}", but)
        if not self.faults:
            self.set_pin(None)
        return version

    # ---- relays ------------------------------------------------------------------------------------

    def session(self, relay: str) -> Session:
        """The session of that relay, begun with its first call."""
        if relay not in self.sessions:
            self.sessions[relay] = Session(relay, self.channel, self.history.find, self.planner.plan)
            if self.current is not None:
                self.assign(self.sessions[relay])
        return self.sessions[relay]

    def assign(self, session: Session) -> None:
        """Gives the session the version that its relay is to have now."""
        session.set_target(self.rollout.target(session.relay), self.facts.guard())
        self.count_holder(session)

    def count_holder(self, session: Session) -> None:
        """To be called after anything was said by or of a relay: its contents are not forgotten meanwhile."""
        held = frozenset(session.digests())
        was = self.counted.get(session.relay, frozenset())
        if held != was:
            self.counted[session.relay] = held
            self.history.count_holder(was, held)

    def remove_relay(self, relay: str) -> None:
        """A relay that is no more."""
        if self.sessions.pop(relay, None) is not None:
            self.history.count_holder(self.counted.pop(relay, frozenset()), ())
