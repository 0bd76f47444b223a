"""A store with one slice and a store mirror that reads it, for tests of changes of ownership."""

from types import SimpleNamespace

from hours import Hours
from indigohitch import interface as face
from indigohitch.net.loop import Deadline
from indigohitch.platform_protocol.ownership_guard import OwnershipGuard
from indigohitch.platform_protocol.store_mirror import StoreMirror
from test_store_mirror import FakeModule

SLICE = 5
OUR_ORDERS = [face.SetRoute(SLICE, "b1", 1.0), face.SetRoute(SLICE, "b0", 0.0)]  # a move from b0 to b1
OWNERSHIP_EVENTS = [face.SliceOwnership(SLICE, True), face.StoredRoute(SLICE, "b0", 1.0)]


class FakeRelay:
    """A store with one slice, the calls to it, and the store mirror and module of a coordinator."""

    def __init__(self, requires_continuity=False):
        self.store, self.is_owned = {"b0": 1.0}, True
        self.calls = []
        self.applied_count = 0  # calls that are applied and not acknowledged
        self.module, self.hours = FakeModule(), Hours()
        self.hours.call_after = lambda span, action: Deadline(0, action)  # the tests settle by hand
        self.revoked = []  # the calls among them whose orders are no longer valid
        self.rereads = []  # scheduled requests for a snapshot
        timers = SimpleNamespace(call_after=lambda span, action: self.rereads.append(action))
        self.guard = OwnershipGuard(timers, self.module, requires_continuity)
        self.guard.request_snapshot = self.read_snapshot
        self.store_mirror = StoreMirror(
            self.hours,
            self.module,
            self.module.deliver,
            lambda: [o for call in self.calls if call not in self.revoked for o in call],
            self.calls.append,
            self.guard,
        )
        self.store_mirror.revoke_orders = self.revoke
        self.store_mirror.on_watch_requested()
        self.store_mirror.on_watch_opened()
        self.send(*OWNERSHIP_EVENTS)
        self.store_mirror.on_keepalive()

    def send(self, *events):
        for event in events:
            self.store_mirror.on_relay_event(event)

    def enqueue(self, *orders):
        """Queue a call of the module, which assumes its effect."""
        self.calls.append(list(orders))
        for order in orders:
            self.module.tables[SLICE].pop(order.backend, None)
            if order.weight:
                self.module.tables[SLICE][order.backend] = order.weight

    def apply_call(self):
        for order in self.calls[self.applied_count] if self.is_owned else ():
            if isinstance(order, face.SetRoute):
                self.store.pop(order.backend, None)
                if order.weight:
                    self.store[order.backend] = order.weight
        self.applied_count += 1

    def acknowledge(self):
        self.applied_count -= 1
        call = self.calls.pop(0)
        if call in self.revoked:
            self.revoked.remove(call)
            self.store_mirror.on_revoked_applied(call)
        else:
            self.store_mirror.apply(call)

    def revoke(self, numbers):
        """Mark the calls as revoked; each one may be in flight, so the relay may still apply it."""
        self.revoked = [call for call in self.calls if SLICE in numbers or call in self.revoked]

    def read_snapshot(self):
        self.store_mirror.on_watch_requested()
        self.store_mirror.on_watch_opened()
        if self.is_owned:
            self.send(face.SliceOwnership(SLICE, True))
            self.send(*(face.StoredRoute(SLICE, b, w) for b, w in self.store.items()))
        self.store_mirror.on_keepalive()

    def change_owner(self, is_owned, routes=None):
        """Revoke the slice, or assign it with these routes; return the events that report this."""
        self.is_owned = is_owned
        self.store = self.store if routes is None else dict(routes)
        return (
            [face.SliceOwnership(SLICE, False)]
            if not is_owned
            else [
                face.SliceOwnership(SLICE, True),
                *(face.StoredRoute(SLICE, b, w) for b, w in self.store.items()),
            ]
        )

    def complete_calls(self):
        self.store_mirror._settle()
        while self.calls:
            if not self.applied_count:
                self.apply_call()
            self.acknowledge()
        while self.rereads:
            self.rereads.pop(0)()
        return self.module.tables.get(SLICE), self.store if self.is_owned else None
