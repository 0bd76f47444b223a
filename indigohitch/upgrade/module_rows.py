"""The form in which the decision module goes to the next process: rows, and the attributes that they hold."""

from __future__ import annotations

from ..encoding.rows import Row


class SumsRow(Row):
    span: int
    at: int
    values: list[float]


class BackendRow(Row):
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
    latest: SumsRow | None = None  # None: of a program that kept none


class ModuleRow(Row):
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


# What is copied as it stands: the row's field, and the attribute of the module's object.  Rows are arrays, so
# either name may change without the other, and no byte with them; the order of a row's fields may not.
PLAIN = {
    "now": "now",
    "beats": "beats",
    "plan_from": "plan_from",
    "yield_": "yield_",
    "failing": "failing",
    "assessed": "assessed",
    "turn": "turn",
    "strained": "strained",
    "balancing": "balancing",
    "held": "held",
    "list_fresh": "list_fresh",
    "next_beat": "next_beat",
    "timer": "timer",
    "calls_failed": "calls_failed",
    "joined": "joined",
    "charge": "charge",
}
OF_CHANNEL = {"mark": "mark", "backlog": "backlog", "backlog_at": "backlog_at"}
OF_BACKEND = {
    "kind": "kind",
    "zone": "zone",
    "weight": "weight",
    "started": "started",
    "state": "state",
    "dropped": "dropped",
    "told": "told",
    "slowness": "slowness",
    "excess": "excess",
    "probe_out": "probe_out",
    "misses": "misses",
    "miss_since": "miss_since",
    "ok_heard": "ok_heard",
    "unanswered": "unanswered",
    "health": "health",
    "admit": "admit",
    "judged": "judged",
    "wait": "wait",
    "doubtful": "doubtful",
    "lost": "lost",
    "intake": "intake",
    "warmth": "warmth",
    "capacity": "capacity",
    "load": "load",
    "share": "share",
}
OF_SLICE = {
    "since": "since",
    "level": "level",
    "load": "load",
    "cost": "cost",
    "mark": "mark",
    "closed_at": "closed_at",
    "quiet": "quiet",
    "burst": "burst",
}
