"""The module orders, byte for byte, what the files in golden/decisions recorded, and these files hold all
kinds of orders that it can return.
"""

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

RECORDINGS = [(name, seed) for name in SETTINGS for seed in SEEDS]
EVENT_KINDS = {
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
ORDER_KINDS = {"SetLine", "SetLevel", "Withdraw", "Mark", "Probe", "Subscribe", "SetTimer", "LogLine"}


def replayed(lines: list[bytes], upgraded_every: int = 0) -> list[bytes]:
    """Returns the recorded lines with the orders that the present module returns for their events."""
    head = msgspec.json.decode(lines[0])
    boot, _ = parse_settings(head["settings"])
    module, replay = Coordinator(head["seed"], boot), [lines[0]]
    for number, line in enumerate(lines[1:]):
        batch = msgspec.json.decode(line)
        events = event_codec.unpack_all(batch["events"])
        if upgraded_every and number % upgraded_every == 0:
            frozen = msgspec.msgpack.encode(freeze(module))
            module = thaw(msgspec.msgpack.decode(frozen, type=ModuleRow), boot)
        orders = module.handle(batch["now"], events)
        replayed_batch = {
            "now": batch["now"],
            "events": event_codec.pack_all(events),
            "orders": event_codec.pack_all(orders),
        }
        replay.append(msgspec.json.encode(replayed_batch))
    return replay


def compare(replay: list[bytes], lines: list[bytes]) -> None:
    """Checks that each line of a replay is the recorded one."""
    for number, (new, old) in enumerate(zip(replay, lines, strict=True)):
        assert new == old, f"line {number + 1}"


@pytest.mark.parametrize("name, seed", RECORDINGS)
def test_orders_are_as_recorded(name, seed):
    lines = read(name, seed)
    assert len(lines) > 100
    compare(replayed(lines), lines)


@pytest.mark.parametrize("name, seed", [(name, SEEDS[0]) for name in SETTINGS])
def test_orders_are_as_recorded_where_the_state_is_handed_over_at_intervals(name, seed):
    lines = read(name, seed)
    compare(replayed(lines, upgraded_every=5), lines)


def test_another_seed_or_a_missing_event_is_found():
    """The comparison is able to fail."""
    lines = read("shares", SEEDS[0])
    head = msgspec.json.decode(lines[0])
    assert replayed([msgspec.json.encode(head | {"seed": 99}), *lines[1:]])[1:] != lines[1:]
    fewer = [msgspec.json.encode(head), *(line for line in lines[1:] if b'"draining"' not in line)]
    assert len(fewer) < len(lines) and replayed(fewer)[1:] != fewer[1:]


@pytest.mark.parametrize("name, seed", RECORDINGS)
def test_files_describe_their_rows(name, seed):
    head, *batches = map(msgspec.json.decode, read(name, seed))
    assert head["settings"] == SETTINGS[name] and head["seed"] == seed
    assert {kind: tuple(places) for kind, places in head["kinds"].items()} == KINDS
    assert tuple(head["listed"]) == LISTED
    for batch in batches:
        for kind, *values in [*batch["events"], *batch["orders"]]:
            assert len(values) == len(KINDS[kind])
            assert kind != "BackendList" or all(len(entry) == len(LISTED) for entry in values[2])


def recorded() -> dict[str, list[dict]]:
    """Returns the recorded batches by the name of the settings."""
    return {
        name: [msgspec.json.decode(line) for seed in SEEDS for line in read(name, seed)[1:]]
        for name in SETTINGS
    }


def test_each_kind_of_event_and_order_is_recorded():
    recordings = recorded()
    batches = [batch for recording in recordings.values() for batch in recording]
    assert {row[0] for batch in batches for row in batch["events"]} == EVENT_KINDS
    assert {row[0] for batch in batches for row in batch["orders"]} == ORDER_KINDS
    assert set(KINDS) == EVENT_KINDS | ORDER_KINDS
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


def test_each_kind_of_decision_is_recorded():
    recordings = recorded()
    orders = {
        name: [row for batch in recording for row in batch["orders"]]
        for name, recording in recordings.items()
    }
    counts = Counter()
    for name, rows in orders.items():
        for row in rows:
            if row[0] == "LogLine":
                counts[re.sub(r"\b(b\d+|stranger|[\d.]+)\b", "_", row[1])] += 1
            elif row[0] == "Withdraw":
                counts[f"withdraw {row[2]}"] += 1
            elif row[0] == "SetLevel":
                counts[
                    f"level {name} {'closed' if row[3] == 0.0 else 'whole' if row[3] == 1.0 else 'part'}"
                ] += 1
                counts[f"level of {row[2]}"] += row[3] == 0.0
            elif row[0] == "SetLine":
                counts[f"line {name} {bool(row[3])}"] += 1
    expected = {
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
    assert {kind: counts[kind] for kind, minimum in expected.items() if counts[kind] < minimum} == {}
    assert not any(row[0] == "Probe" for row in orders["bare"])
    repeated = [row for row in orders["shares"] if row[0] == "Subscribe"]
    # The request is repeated after a failed call, by the heap of due actions.
    assert len(repeated) > len(SEEDS)
    assert not any(row[0] == "SetLevel" and row[1] == 65535 for row in orders["rates"])


def test_the_files_are_small():
    assert sum(path(name, seed).stat().st_size for name, seed in RECORDINGS) < 3 << 20
