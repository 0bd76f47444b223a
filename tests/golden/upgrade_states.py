"""States and frames of an upgrade as rows by position, so that no name of a field stands here: how the files
of golden/upgrade were made, and what they hold."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from golden.decision_days import Day
from golden.decision_settings import SETTINGS
from indigohitch.settings import parse_settings
from indigohitch.upgrade import event_codec, module_state
from indigohitch.upgrade import snapshot as shots

FOLDER = Path(__file__).parent / "upgrade"
SETTINGS_OF_COORDINATOR = SETTINGS["shares"]
# Places in the row of a module, and in those of its backends and slices (upgrade/module_rows.py).
BACKENDS, SLICES, DUE, WITHDRAWN, UNACKED = 4, 5, 7, 18, 23
ID, STATE, PROBE_OUT, LOST = 0, 5, 12, 22
PARTS, STORED, CLOSED = 2, 3, 9
REHEARSED_AFTER = 20_000
# The words in the order of their numbers: the file, how many descriptors come with it, the values.
FRAMES: list[tuple[str, int, list[Any]]] = [
    ("hello", 0, [1, 1, 4242, "0.1.0"]),
    ("listeners", 2, [["callers", "control"], 17_000_000_000_000, 4096, 17_000_000_020_000]),
    ("piece", 0, [bytes(range(256))]),
    ("restored", 0, ["digest of the coordinator's state"]),
    ("proven", 0, ["digest of what it orders next"]),
    ("passed", 2, [[1, 2], [b"", b"GET /a"], ["client", '["east",1,20000000,null,false]']]),
    ("commit", 0, ["rest of a coordinator", True]),
    ("accepting", 0, []),
    ("adopted", 0, [[1, 2, 300]]),
    ("rest", 0, ["rest of a sidecar"]),
    ("done", 0, []),
    ("call_off", 0, ["told to end"]),
    ("refuse", 0, ["restore: ValueError: a part at b1 has another owner"]),
]
REST = [
    ["SliceDemand", 3, "search", 41, 2, 20000],
    ["ProxyDemand", 7, "reserve", 5, 0, 20000],
    ["Traffic", "east", "b1", 40, 3, 2500, 20000, {"service_time": 2500, "queued": 3.5}],
    ["Acked", 4, 65535, 3100],
]
SIDECAR_REST = {"nodes": [REST[:1], 17_000_000_000_100], "halls": [REST[2:3], 17_000_000_000_200]}
ORDERS = [
    [["SetLine", 3, "b1", 1.0], ["SetLine", 3, "b0", 0.0], ["Mark", 12, False]],
    [["Withdraw", "b2", True], ["SetLevel", 65535, [], 1.0, 1], ["ClearTable", 9], ["Mark", 13, False]],
    [["SetLevel", 4, [1], 0.0, 1], ["Mark", 14, False]],
]
TAKEN = 17_000_000_000_000


class Reached(Exception):
    """The state that was looked for."""


class Until(Day):
    """A day up to the first batch after which its module is as wanted."""

    def __init__(self, name: str, seed: int, wanted: Callable[[list], bool]) -> None:
        super().__init__(name, seed)
        self.wanted = wanted

    def handle(self, rows: list[list]) -> None:
        super().handle(rows)
        if self.wanted(self.row()):
            raise Reached

    def row(self) -> list:
        """The module's state as plain data, by position."""
        return msgspec.msgpack.decode(msgspec.msgpack.encode(module_state.freeze(self.module)))


def day_until(name: str, wanted: Callable[[list], bool]) -> Until:
    for seed in range(100, 200):
        day = Until(name, seed, wanted)
        try:
            for _ in day.run(120):
                pass
        except Reached:
            return day
    raise LookupError(f"no day of {name} comes to that state")


def eventful(row: list) -> bool:
    """A failed call's timer, probes out, backends that drain or are shut out, marks unanswered, a split."""
    return bool(
        row[DUE]
        and row[WITHDRAWN]
        and any(proxies for _, _, proxies in row[UNACKED])
        and any(b[PROBE_OUT] for b in row[BACKENDS])
        and any(b[STATE] == "draining" for b in row[BACKENDS])
        and any(len(s[PARTS]) > 1 for s in row[SLICES])
    )


def closing(row: list) -> bool:
    """A slice on its way to another owner, with probes out and a timer."""
    return bool(
        row[DUE]
        and any(b[PROBE_OUT] for b in row[BACKENDS])
        and any(s[CLOSED] is not None for s in row[SLICES])
    )


def chance(seed: int) -> list:
    version, internal, gauss = random.Random(seed).getstate()
    return [version, list(internal), gauss]


def out(row: list) -> list[str]:
    """Backends with a probe out."""
    return [b[ID] for b in row[BACKENDS] if b[PROBE_OUT]]


def coordinator_state() -> list:
    day = day_until("shares", eventful)
    row, nodes = day.row(), list(day.nodes.values())
    stood = [[number, [[b, w] for b, w in lines.items()], None] for number, lines in day.tables.items()]
    stood[0][2] = ["SetLevel", stood[0][0], [], 0.8, 1]
    return [
        row,
        [node.entry() for node in nodes],
        {node.name: f"10.0.0.{place}:8080" for place, node in enumerate(nodes)},
        [*(node.name for node in nodes), "stranger"],
        day.version,
        True,
        ORDERS,
        [TAKEN - 30_000, TAKEN - 12_000],
        1,
        [["ProxyJoined", proxy, "east", 5.0, proxy % 2 == 0] for proxy in sorted(day.proxies)],
        stood,
        True,
        [stood[1][0]],
        out(row),
        [["SetLine", 5, "b3", 1.0], ["Withdraw", "b4", False]],
        [[nodes[-1].name, TAKEN - 70_000, TAKEN - 69_000]],
        TAKEN - 5_000,
    ]


def pool_row(name: str, day: Until) -> list:
    row, nodes = day.row(), list(day.nodes.values())
    place = {node.name: at for at, node in enumerate(nodes)}
    return [
        name,
        24,
        row,
        [
            [n.name, "10.0.1.9", 8000 + at, at == 1, at != 2, {"queued": 2.0}]
            for n, at in zip(nodes, place.values())
        ],
        [
            [
                [[place[b], w] for b, w in day.tables.get(number, {}).items() if b in place],
                0.8 if number == 1 else 1.0,
                {"reserve": 0.0} if number == 2 else {},
                1,
            ]
            for number in range(24)
        ],
        chance(5),
        day.version,
        7,
        TAKEN - 4_000,
        [[n.name, "10.0.1.9", 8000 + at, n.weight, n.zone, n.kind] for at, n in enumerate(nodes)],
        out(row),
    ]


def states() -> dict[str, bytes]:
    """The snapshots by the names of their files."""
    pools = [
        pool_row("nodes", day_until("exclusive", closing)),
        pool_row("halls", day_until("bare", lambda row: any(s[CLOSED] is not None for s in row[SLICES]))),
    ]
    return {
        "coordinator": shots.encode(["coordinator", TAKEN, None, coordinator_state()]),
        "sidecar": shots.encode(["sidecar", TAKEN, [pools], None]),
    }


def ordered_next(coordinator: bytes) -> bytes:
    """Digest of what the module in this snapshot orders a while later."""
    body = msgspec.msgpack.decode(coordinator[34:])
    row = msgspec.convert(body[3][0], module_state.ModuleRow)
    boot, _ = parse_settings(SETTINGS_OF_COORDINATOR)
    return event_codec.rehearsal_digest([module_state.thaw(row, boot)], body[3][0][1] + REHEARSED_AFTER)


def values(name: str, given: list, coordinator: bytes) -> list:
    """Of a frame, where what it holds comes of other files."""
    match name:
        case "restored":
            return [shots.digest(coordinator)]
        case "proven":
            return [ordered_next(coordinator)]
        case "commit":
            return [msgspec.msgpack.encode(REST), given[1]]
        case "rest":
            return [msgspec.msgpack.encode(SIDECAR_REST)]
    return given
