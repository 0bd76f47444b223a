"""What write.py asks of the bench's wire and the log."""

import json

from given_settings import LEAST


def line(type: str, **words: object) -> str:
    """A line of the bench; `_` stands for `-` in its names."""
    return json.dumps({"type": type} | {name.replace("_", "-"): word for name, word in words.items()})


REPORT = [3, 1, 41.57, 0.61, 20.5, None, 7]
EVERY_LIST = [
    {"backend": f"b{n}", "condition": condition, "share": n + 0.5}
    for n, condition in enumerate(("healthy", "cordoned", "deregistered"))
] + [
    {
        "backend": "b9",
        "condition": "healthy",
        "share": 6,
        "campus": "west",
        "block": 2,
        "model": "m2",
        "launched": 1796137077499.57,
        "further": "unread",
    }
]

BENCH_IN = [
    line("Mark", at_time=12.34),
    line("Flush"),
    line("Configure", coordinator=2, rng_seed=7, params={"a": {"b-c": [1, 2.5, None, True]}}),
    line("PowerOff", coordinator=2),
    line("List", buffer=5),
    line("List", buffer=5, members=EVERY_LIST),
    *(
        line("Endpoints", coordinator=1, kind=kind, number=42, buffer=3)
        for kind in ("changes", "all", "remembered")
    ),
    line("Endpoints", coordinator=1, kind="refused"),
    line("Endpoints", coordinator=1, kind="another", buffer=3),
    line("Endpoints", coordinator=1, kind="all", buffer=4),
    *(
        line("ProbeResult", coordinator=1, backend="b1", state_code=code, duration=4.56)
        for code in (*"SEFTCR", "Z")
    ),
    line("ProbeResult", coordinator=1, backend="b1", state_code="S", health_info=REPORT),
    line("Heat", coordinator=1, table=88, tier_class="search"),
    line("Heat", coordinator=1, table=88, tier_class="search", total=40, errors=2, elapsed=100.04),
    line("Intake", coordinator=1, edge=17, tier_class="search"),
    line("Intake", coordinator=1, edge=17, tier_class="search", total=41, errors=3, elapsed=100.06),
    line("TrafficReport", coordinator=1, backend="b1"),
    line(
        "TrafficReport",
        coordinator=1,
        backend="b1",
        campus="east",
        total=212,
        errors=3,
        duration=41.77,
        elapsed=1000.0,
        health_info=REPORT,
    ),
    line("Connected", coordinator=1, edge=17),
    line("Connected", coordinator=1, edge=17, campus="east", share=21.5, active=True),
    line("LostStream", coordinator=1, edge=17),
    line("Installed", coordinator=1, edge=17, number=905),
    line("Installed", coordinator=1, edge=17, number=905, duration=310.46),
    line("AssignedToMe", coordinator=1, table=88),
    line("AssignedToMe", coordinator=1, table=88, active=True),
    line("StoredLine", coordinator=1, table=88, backend="b1", share=2.5),
    line("FromPeer", coordinator=1, src=3, body="AP9hYg=="),
    line("TickDue", coordinator=1, tag="again"),
    line("OfALaterVersion", coordinator=1, rest=[1]),
    line("Heat", coordinator=1, table=88),
    line("Heat", table=88, tier_class="search"),
    line("StoredLine", coordinator=1, table=88, backend="b1"),
    line("FromPeer", coordinator=1, src=3, body="?"),
    '{"no":"type"}',
    "{",
]

ORDERS = [
    {"order": "set line", "table": 4, "backend": "b1", "weight": 1.5},
    {"order": "set line", "table": 4, "backend": "b1", "weight": 0.0},
    {"order": "clear table", "table": 4},
    {"order": "set level", "table": 4, "methods": [0], "level": 0.9, "tries": 1},
    {"order": "set level", "table": 65535, "methods": [0, 1], "level": 1.0, "tries": 3},
    {"order": "set level", "table": 65535, "methods": [], "level": 0.25, "tries": 0},
    {"order": "withdraw", "backend": "b1", "out": True},
    {"order": "withdraw", "backend": "b1", "out": False},
    {"order": "mark", "mark": 905, "everyone": True},
    {"order": "mark", "mark": 906, "everyone": False},
]
BENCH_ORDERS = ORDERS + [
    {"order": "bind", "proxy": 17, "table": 4, "methods": []},
    {"order": "bind", "proxy": 17, "table": 4, "methods": [0, 3]},
    {"order": "probe", "backend": "b1"},
    {"order": "tell peer", "peer": -1, "body": "\x00\xffab"},
    {"order": "subscribe", "on": True},
    {"order": "subscribe", "on": False},
    {"order": "fetch list"},
    {"order": "set timer", "due": 123456, "tag": "again"},
    {"order": "log line", "text": 'says "so" \u00e9'},
]
BENCH_OUT = [one | {"coordinator": number} for number, one in enumerate(BENCH_ORDERS)]

KINDS = {"whole": 1, "part": 2.5, "none": None, "flag": True, "rows": [1, "a"], "map": {"a": 1}}
LOG_LINES = [
    [["event", "phase", {"was": "starting", "now": "listening"}, 1]],
    [
        [
            "event",
            "kinds",
            {"whole": 1, "part": 2.5, "none": None, "flag": True, "rows": [1, "a"], "map": {"a": 1}},
            1,
        ]
    ],
    [["event", "bytes", {"line": "a\u00ff\r"}, 1], ["event", "text", {"text": '\u00e9"\n'}, 1]],
    [["event", "long", {"text": "x" * 5000, "other": "y" * 1200, "number": 5}, 1]],
    [["event", "names", {"event": "given again", "coordinator": "other"}, 1]],
    [
        ["trouble", "often", {"why": "w"}, 23],
        ["later", "", {"tenths": 10000}, 1],
        ["trouble", "often", {"why": "w"}, 2],
    ],
    [
        ["count", "b", {"by": 2}, 1],
        ["count", "a", {"by": 1}, 3],
        ["trouble", "c", {}, 1],
        ["later", "", {"tenths": 15}, 1],
        ["counters", "", {}, 1],
    ],
    [["counters", "", {}, 1]],
]
LOG_JOBS = [
    "calls to the relay",
    "lists",
    "invariants",
    "orders that no call carries",
    "calls in doubt",
]

ENUMERATIONS = ["service phases", "verdicts", "invariants"]
ERRORS = [
    {"error": error, "what": "so it is", "where": where, "remedy": remedy}
    for error in ("unreadable", "unfit", "not now", "line unreadable", "line garbled")
    for where, remedy in (("", "mend it"), ("a file:3", "mend it"))
] + [
    {"error": "unfit", "what": "so it is", "where": "", "remedy": ""},
    {"errno": "EIO", "remedy": "look at the disk"},
    {"errno": "EIO", "remedy": ""},
]

BENCH_TALKS = [
    {
        "breaks_at": 20000,
        "orders": BENCH_ORDERS,
        "lines": [
            line("Mark", at_time=0.5),
            line("Configure", coordinator=2, rng_seed=7, params=LEAST | {"period": 4.04}),
            line("List", buffer=0, members=EVERY_LIST),
            line("Endpoints", coordinator=2, kind="all", number=1, buffer=0),
            line("TickDue", coordinator=9, tag="of nobody"),
            line("Flush"),
            line("Mark", at_time=2000),
            line("TickDue", coordinator=2, tag="now"),
            line("OfALaterVersion"),
            line("Flush"),
            line("Mark", at_time=2001),
            line("TickDue", coordinator=2, tag="late"),
            line("PowerOff", coordinator=2),
            line("Flush"),
        ],
    },
]
