"""Versions, deltas and plans at 10,000 slices, 1,000 backends and 5,000 relays, against dict copies and full
resends; growth with slices and with relays.

    python benchmarks/versions.py       the last line is JSON; exit code 1 if a one-line change costs three
                                        times as much at 10,000 slices as at 100"""

from __future__ import annotations

import gc
import json
import os
import random
import statistics
import sys
import time
import tracemalloc

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from indigohitch import interface as face  # noqa: E402
from indigohitch.standins.table_relay import TableRelay  # noqa: E402
from indigohitch.versions import delta  # noqa: E402
from indigohitch.versions.amends import amended  # noqa: E402
from indigohitch.versions.checks import Facts, faults  # noqa: E402
from indigohitch.versions.history import MemoryStore  # noqa: E402
from indigohitch.versions.publisher import VersionPublisher  # noqa: E402
from indigohitch.versions.tables import Root, root_of  # noqa: E402
from indigohitch.versions.terms import Channel, Guard, Version  # noqa: E402

BACKENDS, LINES = 1000, 2  # lines of a slice
NAMES = [f"backend-{number}" for number in range(BACKENDS)]


def tables(slices: int, seed: int = 1) -> dict[int, dict[str, float]]:
    chance = random.Random(seed)
    return {slice: dict.fromkeys(chance.sample(NAMES, LINES), 1.0) for slice in range(slices)}


def micros(call, times: int) -> float:
    """Median of single calls, in us."""
    found = []
    gc.collect()
    gc.disable()
    for number in range(times):
        began = time.perf_counter()
        call(number)
        found.append(1e6 * (time.perf_counter() - began))
    gc.enable()
    return round(statistics.median(found), 1)


def kilobytes(call, times: int) -> float:
    """Memory held by what a call returns."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = [call(number) for number in range(times)]
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del held
    return round(grown / times / 1000, 2)


def at(slices: int) -> dict:
    """One line changes; then a way back over 100 slices."""
    plain, facts = tables(slices), Facts(dict.fromkeys(NAMES, "ready"), frozenset(range(slices)))
    root = root_of(plain)

    def change(number: int) -> Root:
        return root.with_line(number * 7 % slices, NAMES[number % BACKENDS], 2.0)

    def copied(number: int) -> dict:
        twin = {slice: dict(lines) for slice, lines in plain.items()}
        twin[number * 7 % slices][NAMES[number % BACKENDS]] = 2.0
        return twin

    changed = change(3)
    old = root_of(plain | tables(min(100, slices), 2))
    version = Version(1, old, None, "old", 0)
    return {
        "build_ms": round(micros(lambda _: root_of(plain), 3) / 1000, 1),
        "version_us": micros(change, 400),
        "version_kb": kilobytes(change, 50),
        "copy_us": micros(copied, 20),
        "copy_kb": kilobytes(copied, 3),
        "delta_us": micros(lambda _: delta.ordered([root], changed, Guard()), 400),
        "checks_us": micros(lambda _: faults(root, changed, facts), 200),
        "delta_100_us": micros(lambda _: delta.ordered([root], old, Guard()), 30),
        "rollback_plan_ms": round(micros(lambda _: amended(version, root, facts), 5) / 1000, 2),
        "lines_delta": 1,
        "lines_full": root.lines,
    }


def crowd(relays: int, slices: int = 10_000) -> dict:
    """A version to all relays: planned, sent, taken and acknowledged, each relay applying what comes."""
    publisher = VersionPublisher(
        MemoryStore(), Facts(dict.fromkeys(NAMES, "ready"), frozenset(range(slices))), Channel()
    )
    plain = tables(slices)
    publisher.apply_orders(
        0,
        [
            face.SetRoute(slice, name, weight)
            for slice, lines in plain.items()
            for name, weight in lines.items()
        ],
        "first",
    )
    stand = {f"r{number}": TableRelay(publisher.root) for number in range(relays)}
    tracemalloc.start()
    for name, relay in stand.items():
        publisher.session(name).on_connect(0, 1, relay.connect(1))
    kb = tracemalloc.get_traced_memory()[0] / 1000 / relays
    tracemalloc.stop()
    found, lines, clock = [], 0, 0
    for number in range(3):
        clock += 100_000
        slice = 17 * number
        began = time.perf_counter()
        publisher.apply_orders(clock, [face.SetRoute(slice, NAMES[number], 3.0)], "one line")
        messages = [
            (name, message) for name, session in publisher.sessions.items() for message in session.due(clock)
        ]
        sent = time.perf_counter()
        for name, message in messages:
            lines += message.lines()
            answer = stand[name].receive(message)
            publisher.sessions[name].on_ack(clock, answer)
            publisher.count_holder(publisher.sessions[name])
        found.append((1e6 * (sent - began) / relays, 1e6 * (time.perf_counter() - sent) / relays))
    assert all(session.in_sync for session in publisher.sessions.values())
    return {
        "send_us_per_relay": round(min(one for one, _ in found), 2),
        "answer_us_per_relay": round(min(one for _, one in found), 2),
        "session_kb": round(kb, 2),
        "lines_sent": lines,
        "lines_full": 3 * relays * publisher.root.lines,
    }


def main() -> int:
    sizes = {slices: at(slices) for slices in (100, 1000, 10_000)}
    crowds = {relays: crowd(relays) for relays in (500, 5000)}
    for slices, found in sizes.items():
        print(f"{slices} slices: {found}")
    for relays, found in crowds.items():
        print(f"{relays} relays: {found}")
    ratios = {
        name: round(sizes[10_000][name] / sizes[100][name], 2)
        for name in ("version_us", "version_kb", "delta_us", "checks_us")
    }
    print(json.dumps({"ratio_10000_to_100": ratios, "slices": sizes, "relays": crowds}))
    return 1 if max(ratios.values()) >= 3 else 0


if __name__ == "__main__":
    sys.exit(main())
