"""The rows that transfer the state of the decision module, and the attributes that their fields store."""

from __future__ import annotations

from ..encoding.rows import Row


class DecayingSumRow(Row):
    """A decaying sum; times in ticks."""

    window: int
    updated_at: int
    values: list[float]


class BackendRow(Row):
    """One backend with its measured values; times in ticks."""

    id: str
    kind: str
    zone: str
    weight: float
    started_at: int
    state: str
    is_unlisted: bool
    notified_at: int
    pace: DecayingSumRow
    attempts: DecayingSumRow
    slowness: float
    excess: float
    probe_sent_at: int
    missed_probes: int
    first_miss_at: int
    last_success_at: int
    unanswered: int
    health: float
    admission_ratio: float
    judged_at: int
    queue_wait: float
    is_suspect: bool
    is_unresponsive: bool
    received_slices: int
    warmup_fraction: float
    capacity: float
    load: float
    assignments: list[tuple[int, int]]  # slice, index among its assignments
    cold_start_share: float = 1.0


class SliceRow(Row):
    """One slice with its assignments, stored routes and demand; times in ticks."""

    number: int
    owned_since: int
    assignments: list[tuple[int, int]]  # index of the owner (-1: none), next_move_at
    stored_routes: list[tuple[int, float]]  # index of the backend, weight
    admission_ratio: float
    demand: DecayingSumRow
    long_term_demand: DecayingSumRow
    load: float
    cost: float
    closed_methods: list[int] | None = None
    closing_marker: int = 0
    closed_at: int = 0
    quiet_since: int = 0
    recent_load: float = 1.0
    latest_demand: DecayingSumRow | None = None  # None: written by a version without this field


class ModuleRow(Row):
    """The complete decision module; times in ticks."""

    random_state: tuple[int, list[int], float | None]
    now: int
    beat_count: int
    last_marker: int
    backends: list[BackendRow]
    slices: list[SliceRow]
    proxies: list[tuple[int, str]]
    due_actions: list[tuple[int, str]]
    planning_allowed_at: int
    throughput_per_weight: float
    failure_ratio: float
    assessed_at: int
    planning_round: int
    overloaded: bool
    is_balancing: bool
    has_pending_routes: bool
    is_list_current: bool
    levels_sent: list[int]
    ejected: list[int]
    readmitted: list[int]
    backlog: float
    backlog_at: int
    sent: list[int]
    unacked: list[tuple[int, float, list[int]]]
    next_beat_at: int
    timer_due_at: int
    failed_list_calls: int = 0
    departed_proxies: list[tuple[int, int]] = []
    last_join_at: int = 0
    recent_slice_count: float = 0.0


# Values copied unchanged: the field of the row, and the attribute of the object in the module.  Rows are
# encoded as arrays: a rename of either changes no byte, but the order of a row's fields may not change.
MODULE_ATTRIBUTES = {
    "now": "now",
    "beat_count": "beat_count",
    "planning_allowed_at": "planning_allowed_at",
    "throughput_per_weight": "throughput_per_weight",
    "failure_ratio": "failure_ratio",
    "assessed_at": "assessed_at",
    "planning_round": "planning_round",
    "overloaded": "overloaded",
    "is_balancing": "is_balancing",
    "has_pending_routes": "has_pending_routes",
    "is_list_current": "is_list_current",
    "next_beat_at": "next_beat_at",
    "timer_due_at": "timer_due_at",
    "failed_list_calls": "failed_list_calls",
    "last_join_at": "last_join_at",
    "recent_slice_count": "recent_slice_count",
}
CHANNEL_ATTRIBUTES = {"last_marker": "last_marker", "backlog": "backlog", "backlog_at": "backlog_at"}
BACKEND_ATTRIBUTES = {
    "kind": "kind",
    "zone": "zone",
    "weight": "weight",
    "started_at": "started_at",
    "state": "state",
    "is_unlisted": "is_unlisted",
    "notified_at": "notified_at",
    "slowness": "slowness",
    "excess": "excess",
    "probe_sent_at": "probe_sent_at",
    "missed_probes": "missed_probes",
    "first_miss_at": "first_miss_at",
    "last_success_at": "last_success_at",
    "unanswered": "unanswered",
    "health": "health",
    "admission_ratio": "admission_ratio",
    "judged_at": "judged_at",
    "queue_wait": "queue_wait",
    "is_suspect": "is_suspect",
    "is_unresponsive": "is_unresponsive",
    "received_slices": "received_slices",
    "warmup_fraction": "warmup_fraction",
    "capacity": "capacity",
    "load": "load",
    "cold_start_share": "cold_start_share",
}
SLICE_ATTRIBUTES = {
    "owned_since": "owned_since",
    "admission_ratio": "admission_ratio",
    "load": "load",
    "cost": "cost",
    "closing_marker": "closing_marker",
    "closed_at": "closed_at",
    "quiet_since": "quiet_since",
    "recent_load": "recent_load",
}
