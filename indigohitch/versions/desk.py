"""Where versions are made and given to the relays: orders, checks, the store, pins and ways back.

Decides; the one thing that it does to the outside is that `keep` (Store.add) writes a version down before any
relay is told to come to it.  Messages are the caller's to send (Session.due)."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .. import interface as face
from . import checks, orders
from .amends import Amended, amended
from .checks import Facts, Fault
from .cost import Planner, Price
from .keeping import Memory
from .pin import Pin
from .pushing import STAGE, Pushing
from .session import Session
from .store import Store
from .tables import Root
from .terms import Channel, Version


class Desk:
    """`store`: a Store, or Memory where nothing is to outlive the process; it may raise OSError: then nothing
    is sent, and what stood stands.  `tell(event, **fields)` logs."""

    def __init__(
        self,
        store: Store | Memory,
        facts: Facts,
        channel: Channel,
        tell: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        self.store, self.keeping, self.facts = store, store.keeping, facts
        self.channel, self.tell = channel, tell
        self.planner = Planner(channel)
        self.current = self.keeping.newest  # the last good one
        self.asked = self.root
        self.pin: Pin | None = None
        self.pushing = Pushing(self)
        if (pinned := store.pinned) is not None and pinned.by == STAGE:
            self.current = self.keeping.get(pinned.number)  # the push was not through
        elif pinned is not None:
            self.pin = Pin(self.keeping.get(pinned.number), pinned.by, pinned.at)
        self.faults: list[Fault] = []  # of what was asked last; empty: it went out, or is held
        self.sessions: dict[str, Session] = {}
        self.counted: dict[str, frozenset[bytes]] = {}

    @property
    def root(self) -> Root:
        return self.current.root if self.current is not None else Root()

    # ---- ordinary versions -------------------------------------------------------------------------

    def ordered(self, now: int, some: Iterable[face.Order], cause: str) -> Version | None:
        """The module's orders; the version that goes out, if one does.  What a check stops stays asked for,
        and goes with the next orders that cure it.  Raises OSError."""
        changes = orders.carried(self.asked, some)
        if found := checks.weights(changes):
            self.stopped(found, cause)
            return None
        self.asked = self.asked.changed(changes)
        return self.goes(now, cause)

    def heard(self, now: int, facts: Facts, cause: str) -> Version | None:
        """News of backends.  Raises OSError."""
        self.facts = facts
        for session in self.sessions.values():
            session.guarded(facts.guard())
        if self.pushing.staged is not None:
            self.pushing.amend(now)
            for session in self.sessions.values():
                self.give(session)
        return self.goes(now, cause)

    def goes(self, now: int, cause: str) -> Version | None:
        if self.pin is None:
            return self.make(now, self.asked, cause)
        root, said = self.pin.goes(self.root, self.asked, self.facts)
        made = self.make(now, root, f"pinned by {self.pin.by}: {cause}")
        if made is not None:
            self.tell("version_amended", number=made.number, how=said)
        return made

    def make(self, now: int, root: Root, cause: str, but: frozenset[str] = frozenset()) -> Version | None:
        """Raises OSError."""
        self.faults = []
        if self.current is not None and root == self.root:
            return None
        if found := checks.faults(self.root, root, self.facts, but if self.current else but | {"blast"}):
            self.stopped(found, cause)
            return None
        newest = self.keeping.newest
        version = Version(
            newest.number + 1 if newest is not None else 1,
            root,
            self.current.mark if self.current is not None else None,
            cause,
            now,
        )
        self.store.add(version)
        self.current = version
        self.tell("version", number=version.number, digest=version.root.digest.hex(), cause=cause)
        for session in self.sessions.values():
            self.give(session)
        return version

    def stopped(self, found: list[Fault], cause: str) -> None:
        self.faults = found
        self.tell(
            "version_stopped", cause=cause, faults=[fault.text() for fault in found[:20]], all=len(found)
        )

    # ---- ways back ---------------------------------------------------------------------------------

    def way_back(self, which: str | int, but: frozenset[str] = frozenset()) -> tuple[Amended, list[Price]]:
        """A dry run: what would go out, how amended, and what it costs a relay that holds what stands; raises
        Unfit."""
        found = amended(self.keeping.get(which), self.root, self.facts, but)
        return found, self.planner.prices(self.root, found.root)

    def rollback(
        self, now: int, which: str | int, by: str, but: frozenset[str] = frozenset()
    ) -> tuple[Amended, Version | None]:
        """To that version as amended, and pinned there: else the module's next orders would undo it.  With
        faults nothing changes.  Raises Unfit; OSError: then it may be pinned at what stands."""
        old = self.keeping.get(which)
        found = amended(old, self.root, self.facts, but)
        if found.faults:
            self.stopped(found.faults, f"rollback to {old.number} by {by}")
            return found, None
        self.pushing.end()
        self.held(Pin(old, by, now))
        made = self.make(now, found.root, f"rollback to {old.number} by {by}", but)
        if found.said:
            self.tell("version_amended", number=old.number, how=found.said)
        return found, made

    def pinned(self, now: int, by: str) -> None:
        """At what stands.  Raises Unfit where nothing stands."""
        self.held(Pin(self.keeping.get(self.current.number if self.current is not None else 0), by, now))

    def held(self, pin: Pin | None) -> None:
        """Raises OSError; then it is as it was."""
        self.store.pin(
            pin.to.number if pin is not None else 0,
            pin.by if pin is not None else "",
            pin.at if pin is not None else 0,
        )
        self.pin = pin

    def unpinned(self, now: int, by: str, but: frozenset[str] = frozenset({"blast"})) -> Version | None:
        """One delta to what the module wants by now, whatever it wanted meanwhile.  It may be far: an
        operator has asked for it.  Raises OSError; then, as after a fault, the pin stands."""
        if self.asked.digest in self.pushing.flapping.halted and "halted" not in but:
            self.stopped([Fault("halted", "all slices", "this very content was halted")], f"unpinned by {by}")
            return None
        made = self.make(now, self.asked, f"unpinned by {by}", but)
        if not self.faults:
            self.held(None)
        return made

    # ---- relays ------------------------------------------------------------------------------------

    def relay(self, name: str) -> Session:
        if name not in self.sessions:
            self.sessions[name] = Session(name, self.channel, self.keeping.find, self.planner.plan)
            if self.current is not None:
                self.give(self.sessions[name])
        return self.sessions[name]

    def give(self, session: Session) -> None:
        session.want(self.pushing.target(session.relay), self.facts.guard())
        self.count(session)

    def count(self, session: Session) -> None:
        """To be called after anything was said by or of a relay: its contents are not forgotten meanwhile."""
        held = frozenset(session.digests())
        was = self.counted.get(session.relay, frozenset())
        if held != was:
            self.counted[session.relay] = held
            self.keeping.holds(was, held)

    def gone(self, name: str) -> None:
        """A relay that is no more."""
        if self.sessions.pop(name, None) is not None:
            self.keeping.holds(self.counted.pop(name, frozenset()), ())
