"""Three very different settings, a seeded event sequence for each, and interleavings of them in one process.

The sequences name the same backends and slices, but differ in everything else.
"""

import random
import sys
from collections import Counter, deque
from dataclasses import replace

import msgspec

import world
from indigohitch import interface
from indigohitch.logic import Coordinator
from indigohitch.settings import parse_settings
from indigohitch.upgrade.event_codec import pack_all
from test_rules import random_day


def method(name, aim, deadline, repeat, **more):
    return {"name": name, "aim": aim, "deadline": deadline, "importance": 1.0, "repeat": repeat} | more


ONE = {
    "balancers": 1,
    "slot-no": 0,
    "zone": "east",
    "discovery": "ask",
    "period": 4.0,
    "classes": [
        method("search", 2000.0, 6000.0, "read_like"),
        method("reserve", 1200.0, 3000.0, "non_idempotent"),
    ],
    "rules": {"warm-within": 15000.0, "cold-from": 0.2, "drain-grace": 3000.0, "fall-multiple": 4.0},
    "family-info": {
        "admission": "share",
        "egress-per-s": 10000.0,
        "queue-cap": 15000.0,
        "envelope": 16.0,
        "report-every": 2000.0,
        "messages-most": 12,
        "counted-over": 10000.0,
        "push-delay-max": 760.0,
    },
    "bounds": {"may-probe": True},
    "report": {"columns": ["pending", "new_one", "svc_ms"]},
}
TWO = {
    "balancers": 3,
    "slot-no": 2,
    "zone": "west",
    "failure-domains": ["west", "south"],
    "discovery": "push",
    "classes": [
        method("get", 100.0, 300.0, "read_like"),
        method("put", 50.0, 90.0, "non_idempotent"),
        method("list", 900.0, 20000.0, "idempotency_key", **{"memory-span": 800.0}),
    ],
    "rules": {
        "warm-within": 90000.0,
        "cold-from": 0.01,
        "drain-grace": 200.0,
        "fall-multiple": 1.5,
        "dropped-stay-open": True,
    },
    "family-info": {
        "admission": "rate",
        "egress-per-s": 30.0,
        "queue-cap": 900.0,
        "envelope": 1.0,
        "report-every": 500.0,
        "messages-most": 3,
        "counted-over": 4000.0,
        "push-delay-max": 90.0,
        "key-ranges": 5,
    },
    "bounds": {"may-probe": False},
    "report": {"columns": ["latency_ms", "cpu_share", "queue"]},
}
SAME_NAMES = {
    "balancers": 2,
    "slot-no": 1,
    "zone": "south",
    "discovery": "ask",
    "period": 90.0,
    "classes": [method("reserve", 40.0, 60.0, "read_like"), method("search", 70.0, 90.0, "idempotency_key")],
    "rules": {"warm-within": 2000.0, "cold-from": 0.9, "drain-grace": 20000.0},
    "family-info": {
        "admission": "share",
        "egress-per-s": 900.0,
        "queue-cap": 90000.0,
        "report-every": 100.0,
        "push-delay-max": 10.0,
    },
    "bounds": {"may-probe": True},
    "report": {"columns": ["util", "svc_ms", "inflight", "qps", "queue"]},
}
ALL = (ONE, TWO, SAME_NAMES)

SEEDS = 140, 124, 145  # sequences with few slices: all interleavings of one take 15,000 batches
LOADS = (
    {"queued": 90, "service_time": 2500},
    {"service_time": 400, "busy": 0.25, "queued": 7},
    {"busy": 0.75, "service_time": 300, "held": 4, "ok_rate": 2.5, "queued": 3},
)


def day(place, monkeypatch, steps=20):
    """Return (now, events) for each batch of a seeded scenario, with the names and zones of the settings."""
    recorded = []

    class Recording(Coordinator):
        def handle(self, now, events):
            recorded.append((now, list(events)))
            return super().handle(now, events)

    monkeypatch.setattr(world, "Coordinator", Recording)
    random_day(SEEDS[place], steps)
    monkeypatch.undo()
    names = [method_["name"] for method_ in ALL[place]["classes"]]
    zone = ALL[place]["zone"]
    rng = random.Random(place)

    def adapted(event):
        match event:
            case interface.SliceDemand():
                return replace(event, method=rng.choice(names), total=event.total * (1 + place))
            case interface.BackendTraffic():
                load = LOADS[place] if event.load else {}
                factor = 1 + ord(event.backend[-1]) % 4
                return replace(event, zone=zone, load={name: value * factor for name, value in load.items()})
            case interface.BackendList(scope, version, entries):
                return interface.BackendList(
                    scope,
                    version,
                    tuple(
                        replace(entry, zone=zone, weight=entry.weight + place, kind=f"{entry.kind}{place}")
                        for entry in entries
                    ),
                )
        return event

    # The module requests the list again after a random delay.
    failed_list = [interface.BackendList("failed", 0, ())]
    return [
        (now, [adapted(event) for event in events] + (failed_list if n % 9 == 5 else []))
        for n, (now, events) in enumerate(recorded)
    ]


def short(day, count):
    """Merge the batches of a sequence into `count` batches."""
    bounds = [len(day) * n // count for n in range(count + 1)]
    return [
        (day[end - 1][0], [event for _, events in day[start:end] for event in events])
        for start, end in zip(bounds, bounds[1:])
    ]


def instance(place):
    return Coordinator(7 + place, parse_settings(ALL[place])[0])


def letters(orders):
    """Encode orders, so that two lists can be compared byte by byte."""
    return msgspec.msgpack.encode(pack_all(orders))


def alone(place, day):
    """Return the encoded orders of each batch, from a module without others beside it."""
    coordinator = instance(place)
    return [letters(coordinator.handle(now, events)) for now, events in day]


def splits(*counts):
    """Yield every interleaving of sequences of these lengths, as the indexes of the sequences."""
    if not any(counts):
        yield ()
    for place, count in enumerate(counts):
        if count:
            remaining = [remaining_count - (n == place) for n, remaining_count in enumerate(counts)]
            for tail in splits(*remaining):
                yield (place, *tail)


def shuffled(rng, *counts):
    """Return a random interleaving with short and long runs of one sequence."""
    remaining = list(counts)
    schedule = []
    while any(remaining):
        place = rng.choice([n for n, count in enumerate(remaining) if count])
        run = min(remaining[place], rng.choice((1, 1, 2, 5, 30)))
        schedule += [place] * run
        remaining[place] -= run
    return schedule


MUTABLE_TYPES = (dict, list, set, Counter, deque, bytearray)


def kept():
    """Return the text of all mutable values, defaults and caches in the package's modules and classes."""
    values = {}
    for name in [n for n in sys.modules if n.split(".")[0] == "indigohitch"]:
        for where, holder in [(name, sys.modules[name])] + [
            (f"{name}.{member_name}", member)
            for member_name, member in vars(sys.modules[name]).items()
            if isinstance(member, type) and member.__module__ == name
        ]:
            for key, value in vars(holder).items():
                defaults = getattr(value, "__defaults__", None) or ()
                if isinstance(value, MUTABLE_TYPES) and not key.startswith("__"):
                    values[f"{where}.{key}"] = repr(value)
                elif any(isinstance(default, MUTABLE_TYPES) for default in defaults):
                    values[f"{where}.{key}()"] = repr(defaults)
                elif hasattr(value, "cache_info"):
                    values[f"{where}.{key}.cache"] = repr(value.cache_info())
    return values
