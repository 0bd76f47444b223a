"""Settings far apart, a seeded day of events for each, and the ways in which two or three of them can come
one between the other in one process.  The days name the same backends and slices, and tell other things."""

import random
import sys
from collections import Counter, deque
from dataclasses import replace

import msgspec

import world
from indigohitch import interface as face
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

SEEDS = 140, 124, 145  # of days with few slices: all splits of one take 15,000 batches
LOADS = (
    {"queued": 90, "service_time": 2500},
    {"service_time": 400, "busy": 0.25, "queued": 7},
    {"busy": 0.75, "service_time": 300, "held": 4, "ok_rate": 2.5, "queued": 3},
)


def day(place, monkeypatch, steps=20):
    """(now, events) batch by batch, of a seeded day as its settings have it: names, zones, load reports."""
    kept = []

    class Recording(Coordinator):
        def handle(self, now, events):
            kept.append((now, list(events)))
            return super().handle(now, events)

    monkeypatch.setattr(world, "Coordinator", Recording)
    random_day(SEEDS[place], steps)
    monkeypatch.undo()
    names, zone, rng = [m["name"] for m in ALL[place]["classes"]], ALL[place]["zone"], random.Random(place)

    def own(event):
        match event:
            case face.SliceDemand():
                return replace(event, method=rng.choice(names), total=event.total * (1 + place))
            case face.BackendTraffic():
                load, slow = LOADS[place] if event.load else {}, 1 + ord(event.backend[-1]) % 4
                return replace(event, zone=zone, load={n: v * slow for n, v in load.items()})
            case face.BackendList(scope, version, entries):
                return face.BackendList(
                    scope,
                    version,
                    tuple(
                        replace(e, zone=zone, weight=e.weight + place, kind=f"{e.kind}{place}")
                        for e in entries
                    ),
                )
        return event

    lost = [face.BackendList("failed", 0, ())]  # asked for again after a time that chance draws
    return [
        (now, [own(event) for event in events] + (lost if n % 9 == 5 else []))
        for n, (now, events) in enumerate(kept)
    ]


def short(day, count):
    """The whole of it in so many batches, each of what came over a part of the day."""
    cuts = [len(day) * n // count for n in range(count + 1)]
    return [
        (day[end - 1][0], [e for _, events in day[start:end] for e in events])
        for start, end in zip(cuts, cuts[1:])
    ]


def instance(place):
    return Coordinator(7 + place, parse_settings(ALL[place])[0])


def letters(orders):
    """To the byte."""
    return msgspec.msgpack.encode(pack_all(orders))


def alone(place, day):
    """What one in a process of its own orders, batch by batch."""
    one = instance(place)
    return [letters(one.handle(now, events)) for now, events in day]


def splits(*counts):
    """Every order in which sequences of these lengths can come between each other."""
    if not any(counts):
        yield ()
    for place, count in enumerate(counts):
        if count:
            left = [c - (n == place) for n, c in enumerate(counts)]
            for rest in splits(*left):
                yield (place, *rest)


def shuffled(rng, *counts):
    """One of these, drawn: in runs of all lengths."""
    left, split = list(counts), []
    while any(left):
        place = rng.choice([n for n, count in enumerate(left) if count])
        run = min(left[place], rng.choice((1, 1, 2, 5, 30)))
        split += [place] * run
        left[place] -= run
    return split


KEPT = (dict, list, set, Counter, deque, bytearray)


def kept():
    """By name, all that a module or a class of ours holds and that can be changed."""
    found = {}
    for name in [n for n in sys.modules if n.split(".")[0] == "indigohitch"]:
        for where, holder in [(name, sys.modules[name])] + [
            (f"{name}.{n}", c)
            for n, c in vars(sys.modules[name]).items()
            if isinstance(c, type) and c.__module__ == name
        ]:
            for key, value in vars(holder).items():
                defaults = getattr(value, "__defaults__", None) or ()
                if isinstance(value, KEPT) and not key.startswith("__"):
                    found[f"{where}.{key}"] = repr(value)
                elif any(isinstance(d, KEPT) for d in defaults):
                    found[f"{where}.{key}()"] = repr(defaults)
                elif hasattr(value, "cache_info"):
                    found[f"{where}.{key}.cache"] = repr(value.cache_info())
    return found
