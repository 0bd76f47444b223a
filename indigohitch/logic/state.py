"""State of a coordinator: backends, slices and the target assignments between them.

No decisions are made here. Times are integers in ticks of a tenth of a millisecond.
"""

import hashlib
import math
import random
from collections.abc import Iterable
from enum import StrEnum

from ..interface import SECOND, LogMessage, Order
from .update_channel import UpdateChannel

DEPARTING_STATES = ("draining", "gone")  # a backend in these states must have no route


class DueAction(StrEnum):
    """An action that a coordinator has scheduled; the values are stored in hand-overs and snapshots."""

    SUBSCRIBE = "subscribe"  # request the list of backends again


class DecayingSum:
    """Holds sums that decay exponentially, so that recent amounts count most."""

    def __init__(self, window: int, count: int = 2) -> None:
        self.window = window  # time constant in ticks
        self.updated_at = 0
        self.values = [0.0] * count

    def read(self, now: int) -> list[float]:
        """Decays the sums up to `now` and returns them."""
        if now > self.updated_at:
            decay = math.exp((self.updated_at - now) / self.window)
            self.values = [value * decay for value in self.values]
            self.updated_at = now
        return self.values

    def add(self, now: int, *amounts: float) -> None:
        """Adds one amount to each sum."""
        self.values = [value + amount for value, amount in zip(self.read(now), amounts)]


class Backend:
    """Holds what the list of backends, probes and load reports tell about a backend."""

    # Speed is a property of the machine and changes slowly, so it is smoothed for longer than failures.
    PACE_WINDOW = 30 * SECOND
    ATTEMPTS_WINDOW = 4 * SECOND

    def __init__(self, id: str) -> None:
        self.id = id
        self.key = hashlib.blake2b(id.encode(), digest_size=8).digest()
        self.kind = ""
        self.zone = ""
        self.weight = 1.0
        self.started_at = 0  # 0: so long ago that it is warm
        self.state = "unheard"  # or "ready", "draining", "gone"; "unheard": known only from stored routes
        self.is_unlisted = False  # the list no longer has it, but it still responds
        self.notified_at = 0  # when the list last reported it draining, removed or restarted
        self.assignments: list[Assignment] = []  # whose target owner this backend is
        self.forget()
        self.slowness = 1.0  # service time relative to the fastest kind of backend
        self.excess = 1.0  # service time per cost, relative to its own kind
        self.probe_sent_at = 0  # time of the probe in flight; 0: none
        self.first_miss_at = 0  # send time of the first of the probes missed in a row
        self.last_success_at = 0  # time of the last report with a successful attempt
        self.admission_ratio = 1.0  # share of requests to admit
        self.judged_at = 0  # time of the last update of the admission ratio
        self.queue_wait = 0.0  # estimate at that time, as a share of the shortest soft deadline
        self.is_suspect = False  # gets no new assignments
        self.received_slices = 0  # slices moved here in this planning round
        self.warmup_fraction = 1.0  # share of its full capacity, below 1 while its caches are cold
        self.cold_start_share = 1.0  # this coordinator's share of a cold backend's capacity
        self.load = 0.0  # sum over its assignments, in cost per second
        self.capacity = 1.0  # relative, in units of the listed weight; set by `assess`

    def forget(self) -> None:
        """Resets what is known of the process, but not of its machine."""
        self.pace = DecayingSum(self.PACE_WINDOW)  # core time spent on RPCs; cost of these RPCs
        self.attempts = DecayingSum(self.ATTEMPTS_WINDOW)  # attempts; failures
        self.missed_probes = 0  # in a row
        self.unanswered = 0  # failed attempts since the last successful one
        self.health = 1.0
        self.is_unresponsive = False  # answers neither probes nor attempts: its health is at the minimum

    def utilization(self) -> float:
        """Returns the load relative to the capacity."""
        return self.load / self.capacity

    def rank(self, number: int, weight: float) -> float:
        """Returns the weighted rendezvous hashing score for a slice; the highest score wins."""
        digest = hashlib.blake2b(self.key, digest_size=8, salt=number.to_bytes(8, "big")).digest()
        return -weight / math.log((int.from_bytes(digest, "big") + 1) / (2**64 + 2))


class Slice:
    """Holds the routes, assignments and demand of a slice that this coordinator owns."""

    DEMAND_WINDOW = 7 * SECOND  # the 10 s of docs/design.md react too late to demand that lasts 14 s
    LONG_TERM_WINDOW = 30 * SECOND  # over a shorter time a few RPCs a second are mostly noise
    LATEST_WINDOW = SECOND // 2  # covers about the latest report

    def __init__(self, number: int, now: int) -> None:
        self.number = number
        self.owned_since = now
        self.assignments: list[Assignment] = []
        self.stored_routes: dict[Backend, float] = {}  # weights, as in the store
        self.admission_ratio = 1.0  # as in the store
        self.closed_methods: tuple[int, ...] | None = None  # closed in a change of owner; (): all; None: open
        self.closing_marker = 0  # marker of the update that closed them
        self.closed_at = now
        self.quiet_since = 0  # time when all proxies had acknowledged the closing
        self.demand = DecayingSum(self.DEMAND_WINDOW)  # cost; RPCs
        self.long_term_demand = DecayingSum(self.LONG_TERM_WINDOW)  # cost; RPCs
        self.latest_demand = DecayingSum(self.LATEST_WINDOW, 3)  # cost; RPCs; RPCs x seconds covered
        self.load = 1.0  # cost per second
        self.cost = 1.0  # mean cost of an RPC
        self.recent_load = 1.0  # cost per second by the latest reports, for each assignment

    def owners(self) -> list[Backend]:
        """Returns the backends that the slice is assigned to."""
        return [assignment.owner for assignment in self.assignments if assignment.owner is not None]


class Assignment:
    """A unit that the planner moves: a whole slice, or one share of a split slice."""

    def __init__(self, slice: Slice, owner: Backend | None) -> None:
        self.slice = slice
        self.owner: Backend | None = None
        self.next_move_at = 0  # earliest time of the next planned move
        self.assign_to(owner)

    def assign_to(self, owner: Backend | None) -> None:
        """Changes the owner, and updates the assignment lists of both backends."""
        if self.owner is not None:
            self.owner.assignments.remove(self)
        self.owner = owner
        if owner is not None:
            owner.assignments.append(self)

    @property
    def load(self) -> float:
        """Returns the cost per second of this assignment."""
        return self.slice.load / len(self.slice.assignments)


def mean_cost(slices: Iterable[Slice]) -> float:
    """Returns the mean cost of an RPC over these slices; 0 without any RPC."""
    sums = [s.demand.values for s in slices]
    return sum(v[0] for v in sums) / (sum(v[1] for v in sums) or 1.0)


class CoordinatorState:
    """Holds all that a coordinator knows, and the orders of the current call of `handle`."""

    # Above this ratio failures cause retries, so relieving backends goes before warm caches and stability.
    FAILING_RATIO = 0.05
    REPORTS_BEFORE_PLANNING = 3  # with fewer reports the sums are mostly noise

    def __init__(self, seed: int, bootstrap: dict) -> None:
        self.settings = bootstrap
        self.uniform = random.Random(seed).random
        self.coordinator_count: int = bootstrap.get("coordinators", 1)
        self.own_index: int = bootstrap.get("own_number", 0)
        self.methods = {method.name: method for method in bootstrap["methods"]}
        self.now = 0
        self.last_join_at = 0  # when a proxy last joined
        self.orders: list[Order] = []
        self.beat_count = 0
        self.backends: dict[str, Backend] = {}
        self.slices: dict[int, Slice] = {}
        self.recent_slice_count = 0.0  # decaying maximum of the number of owned slices
        self.proxies: dict[int, str] = {}  # zone by proxy
        self.departed_proxies: dict[int, int] = {}  # time up to which a proxy may send writes by an old table
        self.channel = UpdateChannel(bootstrap)
        self.due_actions: list[tuple[int, DueAction]] = [(0, DueAction.SUBSCRIBE)]  # heap by due time
        self.throughput_per_weight = 0.0  # cost per second that a unit of weight answers
        self.failure_ratio = 0.0
        self.assessed_at = 0
        self.planning_round = 0  # number of the last round
        self.planning_allowed_at = 0
        self.is_balancing = False  # planning goes on until all utilizations are close to the mean
        self.overloaded = False  # so many backends are slow or fail that no single one is the cause
        self.has_pending_routes = False  # urgent changes or closed slices wait
        self.is_list_current = False  # a list other than a remembered one has arrived
        self.failed_list_calls = 0  # in a row
        self.levels_sent: set[int] = set()  # proxies that know the retry level
        self.ejected: set[Backend] = set()  # from all tables, until ready again
        self.readmitted: set[Backend] = set()  # ready again, though some proxy may not know it yet
        self.next_beat_at = 0
        self.timer_due_at = 0  # due time of the timer that is set
        self.subscribe_pending = False  # request a subscription with the orders of this call
        self.probe_targets: list[Backend] = []  # backends to probe with the orders of this call

    def log(self, text: str) -> None:
        """Orders a log message."""
        self.orders.append(LogMessage(text))

    def backend(self, id: str) -> Backend:
        """Returns the backend with this id, and adds it if it is not known."""
        return self.backends.get(id) or self.backends.setdefault(id, Backend(id))

    def ready_backends(self) -> list[Backend]:
        """Returns the backends that may have routes."""
        return [backend for backend in self.backends.values() if backend.state == "ready"]

    def is_failing(self) -> bool:
        """Returns whether so many attempts fail that relieving backends is urgent."""
        return self.failure_ratio > self.FAILING_RATIO

    def defer_planning(self) -> None:
        """Suspends planning until a few reports have arrived."""
        self.planning_allowed_at = self.now + self.REPORTS_BEFORE_PLANNING * self.settings["report_every"]
