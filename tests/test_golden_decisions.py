"""The module orders what it did when the days in golden/decisions were recorded, byte for byte; and what is
recorded holds all that it can order."""

import re
from collections import Counter

import msgspec
import pytest

from golden.decision_files import KINDS, LISTED, SEEDS, path, read
from golden.decision_settings import SETTINGS
from indigohitch.logic import Coordinator
from indigohitch.settings import parse_settings
from indigohitch.upgrade import event_codec
from indigohitch.upgrade.module_state import ModuleRow, freeze, thaw

DAYS = [(name, seed) for name in SETTINGS for seed in SEEDS]
HEARD = {
    "BackendList",
    "Probed",
    "SliceDemand",
    "ProxyDemand",
    "Traffic",
    "ProxyJoined",
    "ProxyLeft",
    "Acked",
    "Charge",
    "StoredLine",
    "TimerDue",
}
ORDERED = {"SetLine", "SetLevel", "Withdraw", "Mark", "Probe", "Subscribe", "SetTimer", "LogLine"}


def replayed(lines: list[bytes], upgraded_every: int = 0) -> list[bytes]:
    """The same lines, with the orders of the module as it is now."""
    head = msgspec.json.decode(lines[0])
    boot, _ = parse_settings(head["settings"])
    module, found = Coordinator(head["seed"], boot), [lines[0]]
    for number, line in enumerate(lines[1:]):
        batch = msgspec.json.decode(line)
        heard = event_codec.unpack_all(batch["events"])
        if upgraded_every and number % upgraded_every == 0:
            frozen = msgspec.msgpack.encode(freeze(module))
            module = thaw(msgspec.msgpack.decode(frozen, type=ModuleRow), boot)
        orders = module.handle(batch["now"], heard)
        again = {
            "now": batch["now"],
            "events": event_codec.pack_all(heard),
            "orders": event_codec.pack_all(orders),
        }
        found.append(msgspec.json.encode(again))
    return found


def compare(found: list[bytes], lines: list[bytes]) -> None:
    for number, (new, old) in enumerate(zip(found, lines, strict=True)):
        assert new == old, f"line {number + 1}"


@pytest.mark.parametrize("name, seed", DAYS)
def test_orders_are_as_recorded(name, seed):
    lines = read(name, seed)
    assert len(lines) > 100
    compare(replayed(lines), lines)


@pytest.mark.parametrize("name, seed", [(name, SEEDS[0]) for name in SETTINGS])
def test_orders_of_a_module_that_is_handed_over_now_and_then_are_as_recorded(name, seed):
    lines = read(name, seed)
    compare(replayed(lines, upgraded_every=5), lines)


def test_another_seed_or_a_changed_event_is_found():
    """The comparison can fail."""
    lines = read("shares", SEEDS[0])
    head = msgspec.json.decode(lines[0])
    assert replayed([msgspec.json.encode(head | {"seed": 99}), *lines[1:]])[1:] != lines[1:]
    fewer = [msgspec.json.encode(head), *(line for line in lines[1:] if b'"draining"' not in line)]
    assert len(fewer) < len(lines) and replayed(fewer)[1:] != fewer[1:]


@pytest.mark.parametrize("name, seed", DAYS)
def test_files_say_what_their_rows_mean(name, seed):
    head, *batches = map(msgspec.json.decode, read(name, seed))
    assert head["settings"] == SETTINGS[name] and head["seed"] == seed
    assert {kind: tuple(places) for kind, places in head["kinds"].items()} == KINDS
    assert tuple(head["listed"]) == LISTED
    for batch in batches:
        for kind, *values in [*batch["events"], *batch["orders"]]:
            assert len(values) == len(KINDS[kind])
            assert kind != "BackendList" or all(len(entry) == len(LISTED) for entry in values[2])


def recorded() -> dict[str, list[dict]]:
    return {
        name: [msgspec.json.decode(line) for seed in SEEDS for line in read(name, seed)[1:]]
        for name in SETTINGS
    }


def test_each_kind_is_recorded():
    days = recorded()
    batches = [batch for day in days.values() for batch in day]
    assert {row[0] for batch in batches for row in batch["events"]} == HEARD
    assert {row[0] for batch in batches for row in batch["orders"]} == ORDERED
    assert set(KINDS) == HEARD | ORDERED
    outcomes = {row[2] for batch in batches for row in batch["events"] if row[0] == "Probed"}
    assert outcomes == {"ok", "error", "full", "timeout", "connect_failed", "reset"}
    scopes = {row[1] for batch in batches for row in batch["events"] if row[0] == "BackendList"}
    assert scopes == {"full", "changes", "failed", "remembered"}
    states = {
        entry[1]
        for batch in batches
        for row in batch["events"]
        if row[0] == "BackendList"
        for entry in row[3]
    }
    assert states == {"ready", "draining", "gone"}


def test_each_way_to_decide_is_recorded():
    days = recorded()
    orders = {name: [row for batch in day for row in batch["orders"]] for name, day in days.items()}
    ways = Counter()
    for name, rows in orders.items():
        for row in rows:
            if row[0] == "LogLine":
                ways[re.sub(r"\b(b\d+|stranger|[\d.]+)\b", "_", row[1])] += 1
            elif row[0] == "Withdraw":
                ways[f"withdraw {row[2]}"] += 1
            elif row[0] == "SetLevel":
                ways[
                    f"level {name} {'closed' if row[3] == 0.0 else 'whole' if row[3] == 1.0 else 'part'}"
                ] += 1
                ways[f"level of {row[2]}"] += row[3] == 0.0
            elif row[0] == "SetLine":
                ways[f"line {name} {bool(row[3])}"] += 1
    wanted = {
        "withdraw True": 1,
        "withdraw False": 1,
        "level shares part": 10,
        "level exclusive closed": 10,
        "level of []": 1,
        "level of [1]": 10,
        "no news of the backends: the list's call failed, asking again": 5,
        "strain begins: _ of _ backends look bad": 3,
        "strain ends: _ of _ backends look bad": 3,
        "_ silent: its weight fades": 3,
        "_ answers: its weight returns": 1,
        "_ draining: _ slices leave": 5,
        "_ gone: _ slices leave": 5,
        "slice _ in _ parts: asks for _ backends": 10,
    } | {f"line {name} {on}": 100 for name in SETTINGS for on in (True, False)}
    assert {way: ways[way] for way, least in wanted.items() if ways[way] < least} == {}
    assert not any(row[0] == "Probe" for row in orders["bare"])
    repeated = [row for row in orders["shares"] if row[0] == "Subscribe"]
    assert len(repeated) > len(SEEDS)  # asked for again after a failed call: the heap of what is due
    assert not any(row[0] == "SetLevel" and row[1] == 65535 for row in orders["rates"])


def test_the_files_are_small():
    assert sum(path(name, seed).stat().st_size for name, seed in DAYS) < 3 << 20
