"""What write.py asks of the settings and the configuration."""

CLASSES = [
    {"name": "search", "aim": 2000.04, "deadline": 6000.0, "importance": 2.0, "repeat": "read_like"},
    {
        "name": "reserve",
        "aim": 1200.0,
        "deadline": 3000.0,
        "importance": 3,
        "repeat": "idempotency_key",
        "dedup-scope": "cell",
        "memory-span": 250.06,
    },
    {"name": "pay", "aim": 1.0, "deadline": 2.0, "importance": 1, "repeat": "non_idempotent", "surprise": 1},
]
LEAST = {"classes": CLASSES, "family-info": {"report-every": 100.0}}
PATHS = """balancers slot-no zone failure-domains kinds period discovery weight-kind value-by service-type
bounds.connect-timeout bounds.cpu-us-per-s bounds.keepalive bounds.max-streams bounds.may-probe
bounds.may-tell rules.cold-from rules.warm-within rules.drain-grace rules.fall-multiple
rules.overload-for rules.must-ask-in rules.full-may-have-run rules.dropped-stay-open report.how
family-info.admission family-info.queue-cap family-info.empty-for family-info.homed-by-zone
family-info.class-own-zone family-info.class-writes family-info.cost-per-line
family-info.counted-over family-info.data-plane-size family-info.default-retry
family-info.egress-per-s family-info.envelope family-info.exclusive family-info.fails-to-eject
family-info.initial-set family-info.keeps-writing family-info.key-ranges family-info.lb-method
family-info.messages-most family-info.push-delay-max family-info.transit family-info.reassign-price
family-info.report-every family-info.reports-per-s family-info.settle family-info.sockets-min
family-info.try-aims family-info.waits-for-table family-info.warm-keys penalties.connection
penalties.cross-zone penalties.discovery penalties.handshake penalties.late-fail penalties.peer
penalties.probe penalties.waste result-mix.tail result-mix.tail-miss result-mix.whole
result-mix.worst-class result-mix.worst-window""".split()


def every_path() -> dict:
    """Settings in which each value is another number, so that each shows where it went."""
    found: dict = {"classes": CLASSES, "report": {"columns": ["pending", "new_one", "svc_ms"]}}
    for number, path in enumerate(PATHS):
        *steps, last = path.split(".")
        node = found
        for step in steps:
            node = node.setdefault(step, {})
        node[last] = number + 1.26
    return found


SETTINGS = [
    every_path(),
    LEAST,
    LEAST
    | {"discovery": "push", "kinds": {"m": 1}, "failure-domains": ["a", "b"], "bounds": 3, "zone": None},
    {"classes": CLASSES},
    LEAST | {"family-info": {"report-every": 0}},
    LEAST | {"classes": []},
    {"family-info": {"report-every": 1.0}},
    LEAST | {"classes": [CLASSES[0] | {"repeat": "at will"}]},
    LEAST | {"classes": [CLASSES[0] | {"aim": 0}]},
    LEAST | {"classes": [CLASSES[0] | {"aim": None}]},
]

VALUES = (1, 2, 0.5, 41.57, 3, 4.5)
LOADS = [
    [
        ["busy_reqs", 1],
        ["pending", 2],
        ["cpu_share", 0.5],
        ["svc_ms", 41.57],
        ["served_ps", 3],
        ["failed_ps", 4.5],
    ],
    [["inflight", 1], ["queue", 2], ["util", 0.5], ["latency_ms", 41.57], ["qps", 3], ["eps", 4.5]],
    [["pending", None], ["another", 1], ["svc_ms", None]],
    [],
]

CONFIGURED = {
    "listen": "127.0.0.1:7001",
    "seed": "1f",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "store": {"address": "127.0.0.1:7002"},
    "discovery": "127.0.0.1:7003",
    "settings": LEAST | {"report": {"columns": ["pending"]}, "discovery": "push"},
    "known": {
        "generation": 41,
        "reset": True,
        "instances": [
            {
                "instanceId": "b1",
                "hostPort": "127.0.0.1:7004",
                "zone": "east",
                "machineType": "std",
                "cell": 3,
                "lifecycle": "DRAINING",
                "weight": 6,
                "startedAtMs": 12.34,
            }
        ],
    },
}
CONFIGURATIONS = [
    {"file": CONFIGURED, "environ": {}},
    {
        "file": CONFIGURED,
        "environ": {"BALANCER_LISTEN": "127.0.0.1:8001", "BALANCER_DISCOVERY": "127.0.0.1:8003"},
    },
    {"file": CONFIGURED | {"limits": {"memory_mb": 64, "sockets": 40}}, "environ": {"BALANCER_SEED": "2"}},
]
