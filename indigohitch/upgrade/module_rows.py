"""The rows that carry the decision module's state to the next process, and the attributes that they hold."""

from __future__ import annotations

from ..encoding.rows import Row


class SumsRow(Row):
    """A decaying sum: its window, the time of its last update and its values."""

    span: int
    at: int
    values: list[float]


class BackendRow(Row):
    """One backend with its measurements; times in ticks."""

    id: str
    kind: str
    zone: str
    weight: float
    started: int
    state: str
    dropped: bool
    told: int
    pace: SumsRow
    tries: SumsRow
    slowness: float
    excess: float
    probe_out: int
    misses: int
    miss_since: int
    ok_heard: int
    unanswered: int
    health: float
    admit: float
    judged: int
    wait: float
    doubtful: bool
    lost: bool
    intake: int
    warmth: float
    capacity: float
    load: float
    parts: list[tuple[int, int]]  # slice, place among its parts
    share: float = 1.0


class SliceRow(Row):
    """One slice with its assignments, stored routes and demand; times in ticks."""

    number: int
    since: int
    parts: list[tuple[int, int]]  # owner (place in the backends, -1: none), rests until
    stored: list[tuple[int, float]]  # backend, weight
    level: float
    demand: SumsRow
    usual: SumsRow
    load: float
    cost: float
    closed: list[int] | None = None
    mark: int = 0
    closed_at: int = 0
    quiet: int = 0
    burst: float = 1.0
    latest: SumsRow | None = None  # None: written by a version without this field


class ModuleRow(Row):
    """The whole decision module; times in ticks."""

    chance: tuple[int, list[int], float | None]
    now: int
    beats: int
    mark: int
    backends: list[BackendRow]
    slices: list[SliceRow]
    proxies: list[tuple[int, str]]
    due: list[tuple[int, str]]
    plan_from: int
    yield_: float
    failing: float
    assessed: int
    turn: int
    strained: bool
    balancing: bool
    held: bool
    list_fresh: bool
    levels_sent: list[int]
    withdrawn: list[int]
    returned: list[int]
    backlog: float
    backlog_at: int
    sent: list[int]
    unacked: list[tuple[int, float, list[int]]]
    next_beat: int
    timer: int
    calls_failed: int = 0
    left: list[tuple[int, int]] = []
    joined: int = 0
    charge: float = 0.0


# What is copied unchanged: the row's field, and the attribute of the module's object.  Rows are arrays, so
# either name may change without the other, and no byte with them; the order of a row's fields may not.
PLAIN = {
    "now": "now",
    "beats": "beat_count",
    "plan_from": "planning_allowed_at",
    "yield_": "throughput_per_weight",
    "failing": "failure_ratio",
    "assessed": "assessed_at",
    "turn": "planning_round",
    "strained": "overloaded",
    "balancing": "is_balancing",
    "held": "has_pending_routes",
    "list_fresh": "is_list_current",
    "next_beat": "next_beat_at",
    "timer": "timer_due_at",
    "calls_failed": "failed_list_calls",
    "joined": "last_join_at",
    "charge": "recent_slice_count",
}
OF_CHANNEL = {"mark": "last_marker", "backlog": "backlog", "backlog_at": "backlog_at"}
OF_BACKEND = {
    "kind": "kind",
    "zone": "zone",
    "weight": "weight",
    "started": "started_at",
    "state": "state",
    "dropped": "is_unlisted",
    "told": "notified_at",
    "slowness": "slowness",
    "excess": "excess",
    "probe_out": "probe_sent_at",
    "misses": "missed_probes",
    "miss_since": "first_miss_at",
    "ok_heard": "last_success_at",
    "unanswered": "unanswered",
    "health": "health",
    "admit": "admission_ratio",
    "judged": "judged_at",
    "wait": "queue_wait",
    "doubtful": "is_suspect",
    "lost": "is_unresponsive",
    "intake": "received_slices",
    "warmth": "warmup_fraction",
    "capacity": "capacity",
    "load": "load",
    "share": "cold_start_share",
}
OF_SLICE = {
    "since": "owned_since",
    "level": "admission_ratio",
    "load": "load",
    "cost": "cost",
    "mark": "closing_marker",
    "closed_at": "closed_at",
    "quiet": "quiet_since",
    "burst": "recent_load",
}
