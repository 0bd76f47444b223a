"""Makes versions and publishes them to the relays: orders, checks, the store, pins and rollbacks.

Its only side effect is that the store writes a version before any relay is told to take it. The caller sends
the messages (Session.due).
"""

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
    """A dry run: what would be published, and its price for a relay at the current version."""

    amended: Amended
    prices: list[Price]  # cheapest first


@dataclass(slots=True, frozen=True)
class Rollback:
    """The result of a rollback; `version` is None if a fault stopped it or nothing had to be sent."""

    amended: Amended
    version: Version | None


class VersionPublisher:
    """Makes and publishes versions, and assigns each relay its target.

    If the store raises OSError, nothing is sent and the current version stays. `log_event(event, **fields)`
    writes a line of the log.
    """

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
        self.current = self.history.newest  # the last good version
        self.wanted = self.root  # what the module has asked for, even if a pin or a check holds it back
        self.pin: Pin | None = None
        self.rollout = StagedRollout(self)
        self.recover_pin()
        self.faults: list[Fault] = []  # of the last request; empty if it was published or is held by a pin
        self.sessions: dict[str, Session] = {}
        self.counted: dict[str, frozenset[bytes]] = {}  # by relay: digests it is counted for in the history

    def recover_pin(self) -> None:
        """Restores the pin of before a restart; the baseline of an unfinished rollout becomes current."""
        pinned = self.store.pinned
        if pinned is None:
            return
        if pinned.by == STAGED_BY:
            self.current = self.history.get(pinned.number)
        else:
            self.pin = Pin(self.history.get(pinned.number), pinned.by, pinned.at)

    @property
    def root(self) -> Root:
        """The current version's content; empty before the first version."""
        return self.current.root if self.current is not None else Root()

    # ---- ordinary versions -------------------------------------------------------------------------

    def apply_orders(self, now: int, ordered: Iterable[face.Order], cause: str) -> Version | None:
        """Applies the module's orders and returns the version published, if any.

        What a check stops remains wanted, and is published with the next orders that cure it. Raises OSError.
        """
        changes = orders.changed_lines(self.wanted, ordered)
        if faults := checks.weights(changes):
            self.reject(faults, cause)
            return None
        self.wanted = self.wanted.changed(changes)
        return self.publish_wanted(now, cause)

    def update_facts(self, now: int, facts: Facts, cause: str) -> Version | None:
        """Takes new facts about backends and returns the version published, if any. Raises OSError."""
        self.facts = facts
        for session in self.sessions.values():
            session.set_guard(facts.guard())
        if self.rollout.analysis is not None:
            self.rollout.amend_baseline(now)
            for session in self.sessions.values():
                self.assign(session)
        return self.publish_wanted(now, cause)

    def publish_wanted(self, now: int, cause: str) -> Version | None:
        """Publishes what the module wants, as far as a pin allows it."""
        if self.pin is None:
            return self.publish(now, self.wanted, cause)
        allowed = self.pin.allowed(self.root, self.wanted, self.facts)
        version = self.publish(now, allowed.root, f"pinned by {self.pin.by}: {cause}")
        if version is not None:
            self.log_event("version_amended", number=version.number, how=allowed.notes)
        return version

    def publish(
        self, now: int, root: Root, cause: str, set_aside: frozenset[str] = frozenset()
    ) -> Version | None:
        """Makes a version of that content unless a check not in `set_aside` fails. Raises OSError."""
        self.faults = []
        if self.current is not None and root == self.root:
            return None
        if faults := checks.faults(
            self.root, root, self.facts, set_aside if self.current else set_aside | {"blast"}
        ):
            self.reject(faults, cause)
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

    def reject(self, faults: list[Fault], cause: str) -> None:
        """Keeps and logs the faults of a version that is not published."""
        self.faults = faults
        texts = [fault.text() for fault in faults[:FAULTS_LOGGED]]
        self.log_event("version_stopped", cause=cause, faults=texts, all=len(faults))

    # ---- rollbacks and pins ------------------------------------------------------------------------

    def plan_rollback(self, which: str | int, set_aside: frozenset[str] = frozenset()) -> RollbackPlan:
        """Returns what a rollback would send; raises InvalidRequestError if the version is not kept."""
        found = amended(self.history.get(which), self.root, self.facts, set_aside)
        return RollbackPlan(found, self.planner.prices(self.root, found.root))

    def rollback(
        self, now: int, which: str | int, by: str, set_aside: frozenset[str] = frozenset()
    ) -> Rollback:
        """Publishes an old version as amended, and pins it, or the module's next orders would undo it.

        With faults nothing changes. Raises InvalidRequestError if the version is not kept, and OSError; after
        that the pin may be set while the current version stays.
        """
        old = self.history.get(which)
        found = amended(old, self.root, self.facts, set_aside)
        if found.faults:
            self.reject(found.faults, f"rollback to {old.number} by {by}")
            return Rollback(found, None)
        self.rollout.end()
        self.set_pin(Pin(old, by, now))
        version = self.publish(now, found.root, f"rollback to {old.number} by {by}", set_aside)
        if found.notes:
            self.log_event("version_amended", number=old.number, how=found.notes)
        return Rollback(found, version)

    def pin_current(self, now: int, by: str) -> None:
        """Pins the current version; raises InvalidRequestError if there is none."""
        self.set_pin(Pin(self.history.get(self.current.number if self.current is not None else 0), by, now))

    def set_pin(self, pin: Pin | None) -> None:
        """Stores and sets the pin, or removes it; raises OSError and then changes nothing."""
        if pin is not None:
            self.store.pin(pin.to.number, pin.by, pin.at)
        else:
            self.store.pin(0, "", 0)
        self.pin = pin

    def unpin(self, now: int, by: str, set_aside: frozenset[str] = frozenset({"blast"})) -> Version | None:
        """Publishes the difference to what the module wants by now, and removes the pin.

        The difference may be large, since an operator has asked for it: the `blast` check is set aside. After
        a fault or OSError, the pin stays.
        """
        if self.wanted.digest in self.rollout.backoff.halted and "halted" not in set_aside:
            self.reject([Fault("halted", "all slices", "this very content was halted")], f"unpinned by {by}")
            return None
        version = self.publish(now, self.wanted, f"unpinned by {by}", set_aside)
        if not self.faults:
            self.set_pin(None)
        return version

    # ---- relays ------------------------------------------------------------------------------------

    def session(self, relay: str) -> Session:
        """Returns the session of that relay; the first call begins it."""
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
        """Keeps the relay's contents in the history; to be called after each event or answer of a relay."""
        held = frozenset(session.digests())
        was = self.counted.get(session.relay, frozenset())
        if held != was:
            self.counted[session.relay] = held
            self.history.count_holder(was, held)

    def remove_relay(self, relay: str) -> None:
        """Ends the session of a relay that no longer exists."""
        if self.sessions.pop(relay, None) is not None:
            self.history.count_holder(self.counted.pop(relay, frozenset()), ())
