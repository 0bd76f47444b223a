"""State of a coordinator: backends, slices and the wanted assignments between them.

Nothing is decided here. A time is an int of ticks; a tick is a tenth of a millisecond.
"""

import hashlib
import math
import random
from collections.abc import Iterable
from enum import StrEnum

from ..interface import SECOND, LogMessage, Order
from .update_channel import UpdateChannel

DEPARTING_STATES = ("draining", "gone")  # states in which a backend may have no route


class DueAction(StrEnum):
    """An action a coordinator has scheduled; the values go into hand-overs and snapshots."""

    SUBSCRIBE = "subscribe"  # request the list of backends again


class DecayingSum:
    """Sums that decay with a time constant: recent amounts count most."""

    def __init__(self, window: int, count: int = 2) -> None:
        self.window = window  # the time constant
        self.updated_at = 0
        self.values = [0.0] * count

    def read(self, now: int) -> list[float]:
        """Decay the sums up to `now` and return them."""
        if now > self.updated_at:
            decay = math.exp((self.updated_at - now) / self.window)
            self.values = [value * decay for value in self.values]
            self.updated_at = now
        return self.values

    def add(self, now: int, *amounts: float) -> None:
        """Add one amount to each sum."""
        self.values = [value + amount for value, amount in zip(self.read(now), amounts)]


class Backend:
    """A backend as the list, probes and load reports describe it."""

    # Speed depends on the machine, failures on the moment: speed is smoothed for longer.
    PACE_WINDOW = 30 * SECOND
    ATTEMPTS_WINDOW = 4 * SECOND

    def __init__(self, id: str) -> None:
        self.id = id
        self.key = hashlib.blake2b(id.encode(), digest_size=8).digest()
        self.kind = ""
        self.zone = ""
        self.weight = 1.0
        self.started_at = 0  # 0: long ago
        self.state = "unheard"  # "ready", "draining", "gone"; unheard: known only from stored routes
        self.is_unlisted = False  # no longer in the list, but it responds
        self.notified_at = 0  # when the list last reported it draining, removed or restarted
        self.assignments: list[Assignment] = []  # wanted here
        self.forget()
        self.slowness = 1.0  # relative to the fastest kind
        self.excess = 1.0  # time per cost relative to its own kind
        self.probe_sent_at = 0  # of the probe in flight; 0: none
        self.first_miss_at = 0  # of the probes missed in a row
        self.last_success_at = 0  # last report with a successful attempt
        self.admission_ratio = 1.0  # share of requests to admit
        self.judged_at = 0  # last update of the admission ratio
        self.queue_wait = 0.0  # estimated then, relative to the shortest soft deadline
        self.is_suspect = False  # gets no assignment and no new slice
        self.received_slices = 0  # taken in this planning round
        self.warmup_fraction = 1.0  # share of its full capacity while caches are cold
        self.cold_start_share = 1.0  # this coordinator's share of a cold backend's capacity
        self.load = 0.0  # demand of its assignments
        self.capacity = 1.0  # set by `assess`

    def forget(self) -> None:
        """Reset what is known of the process, but not of its machine."""
        self.pace = DecayingSum(self.PACE_WINDOW)  # core time spent on RPCs, cost of these
        self.attempts = DecayingSum(self.ATTEMPTS_WINDOW)  # attempts, failures
        self.missed_probes = 0  # in a row
        self.unanswered = 0  # attempts without a response, in a row
        self.health = 1.0
        self.is_unresponsive = False  # no response: its health is at the floor

    def utilization(self) -> float:
        """Return the load relative to the capacity."""
        return self.load / self.capacity

    def rank(self, number: int, weight: float) -> float:
        """Return the weighted rendezvous score for a slice; the highest wins."""
        digest = hashlib.blake2b(self.key, digest_size=8, salt=number.to_bytes(8, "big")).digest()
        return -weight / math.log((int.from_bytes(digest, "big") + 1) / (2**64 + 2))


class Slice:
    """A slice of the keys that this coordinator owns."""

    DEMAND_WINDOW = 7 * SECOND  # the design's 10 s lag behind demand that lasts 14 s
    LONG_TERM_WINDOW = 30 * SECOND  # a few RPCs a second are mostly chance over less
    LATEST_WINDOW = SECOND // 2  # about the last report

    def __init__(self, number: int, now: int) -> None:
        self.number = number
        self.owned_since = now
        self.assignments: list[Assignment] = []
        self.stored_routes: dict[Backend, float] = {}  # weights as the store holds them
        self.admission_ratio = 1.0  # as the store holds it
        self.closed_methods: tuple[int, ...] | None = None  # closed during a change of owner; (): all
        self.closing_marker = 0  # of the update that closed them
        self.closed_at = now
        self.quiet_since = 0  # when all proxies had acknowledged the closing
        self.demand = DecayingSum(self.DEMAND_WINDOW)  # cost, RPCs
        self.long_term_demand = DecayingSum(self.LONG_TERM_WINDOW)  # cost, RPCs
        self.latest_demand = DecayingSum(self.LATEST_WINDOW, 3)  # cost, RPCs, RPCs x seconds reported
        self.load = 1.0  # cost a second
        self.cost = 1.0  # of an RPC
        self.recent_load = 1.0  # cost a second by the latest reports

    def owners(self) -> list[Backend]:
        """Return the backends it is assigned to."""
        return [assignment.owner for assignment in self.assignments if assignment.owner is not None]


class Assignment:
    """A movable piece of a slice: the whole of it, or one share of a slice that is split."""

    def __init__(self, slice: Slice, owner: Backend | None) -> None:
        self.slice = slice
        self.owner: Backend | None = None
        self.next_move_at = 0  # it is not moved before
        self.assign_to(owner)

    def assign_to(self, owner: Backend | None) -> None:
        """Change the owner, on both sides."""
        if self.owner is not None:
            self.owner.assignments.remove(self)
        self.owner = owner
        if owner is not None:
            owner.assignments.append(self)

    @property
    def load(self) -> float:
        """Cost a second of this piece."""
        return self.slice.load / len(self.slice.assignments)


def mean_cost(slices: Iterable[Slice]) -> float:
    """Return the mean cost of an RPC over these slices; 0 without any RPC."""
    sums = [s.demand.values for s in slices]
    return sum(v[0] for v in sums) / (sum(v[1] for v in sums) or 1.0)


class CoordinatorState:
    """All that a coordinator knows, and the orders of the current moment."""

    FAILING_RATIO = 0.05  # from here on failures cause retries: relief goes before caches and stability
    REPORTS_BEFORE_PLANNING = 3  # after these the sums show more than chance

    def __init__(self, seed: int, bootstrap: dict) -> None:
        self.settings = bootstrap
        self.uniform = random.Random(seed).random
        self.coordinator_count: int = bootstrap.get("coordinators", 1)
        self.own_index: int = bootstrap.get("own_number", 0)
        self.methods = {method.name: method for method in bootstrap["methods"]}
        self.now = 0
        self.last_join_at = 0  # of a proxy
        self.orders: list[Order] = []
        self.beat_count = 0
        self.backends: dict[str, Backend] = {}
        self.slices: dict[int, Slice] = {}
        self.recent_slice_count = 0.0  # decaying maximum of the number of slices owned
        self.proxies: dict[int, str] = {}  # zone by proxy
        self.departed_proxies: dict[int, int] = {}  # until when a proxy may write by an old table
        self.channel = UpdateChannel(bootstrap)
        self.due_actions: list[tuple[int, DueAction]] = [(0, DueAction.SUBSCRIBE)]  # a heap by due time
        self.throughput_per_weight = 0.0  # answered cost a second and unit of weight
        self.failure_ratio = 0.0
        self.assessed_at = 0
        self.planning_round = 0  # number of the last one
        self.planning_allowed_at = 0
        self.is_balancing = False  # until all backends are within the band
        self.overloaded = False  # many backends look bad at once
        self.has_pending_routes = False  # urgent changes wait
        self.is_list_current = False  # a list that is not merely remembered has come
        self.failed_list_calls = 0  # in a row
        self.levels_sent: set[int] = set()  # proxies that know the retry level
        self.ejected: set[Backend] = set()  # from all tables, until ready again
        self.readmitted: set[Backend] = set()  # ready again, though some proxy may not know it yet
        self.next_beat_at = 0
        self.timer_due_at = 0  # of the timer that is set
        self.subscribe_pending = False  # a subscription to request at the end of this moment
        self.probe_targets: list[Backend] = []  # to probe at the end of this moment

    def log(self, text: str) -> None:
        """Order a line of the log."""
        self.orders.append(LogMessage(text))

    def backend(self, id: str) -> Backend:
        """Return the backend of this id, made where it is not known."""
        return self.backends.get(id) or self.backends.setdefault(id, Backend(id))

    def ready_backends(self) -> list[Backend]:
        """Return the backends that may have routes."""
        return [backend for backend in self.backends.values() if backend.state == "ready"]

    def is_failing(self) -> bool:
        """Return whether so many attempts fail that relief is urgent."""
        return self.failure_ratio > self.FAILING_RATIO

    def defer_planning(self) -> None:
        """Plan nothing until a few reports have come."""
        self.planning_allowed_at = self.now + self.REPORTS_BEFORE_PLANNING * self.settings["report_every"]
