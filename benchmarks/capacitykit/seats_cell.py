"""The planner of licence seats at the leader: members that report, and tenants with seats of their own."""

from __future__ import annotations

import random
import statistics

import msgspec

from indigohitch.fleet.interfaces import EntryContext
from indigohitch.fleet.membership.roster import Roster
from indigohitch.fleet.seats.allocator import SeatSettings
from indigohitch.fleet.seats.contract import Contract, Grant, PoolDemand, Report, Terms
from indigohitch.fleet.seats.part import Seats
from indigohitch.fleet.seats.setup import QUEUE_PLACE_TICKS, RETRY_AFTER_TICKS
from indigohitch.fleet.seats.work import RECALL_ROUND_TICKS, SeatsWork
from indigohitch.fleet.state_machine import ReplicatedStateMachine

from .measuring import Memory, processor_ms

SEATS_A_MEMBER = 4
SEATS_A_TENANT = 2
ROUNDS = 3


class Unrecorded:
    """Acts that are never asked for: the planner gives nothing itself."""

    def stamp(self, now: int, kind: str, about: bytes) -> None:
        return None


def contract_of(members: int, tenants: int) -> Contract:
    keep = tuple((f"tenant{number}", SEATS_A_TENANT) for number in range(tenants))
    seats = SEATS_A_MEMBER * members + SEATS_A_TENANT * tenants
    return Contract(1, (Terms("geo", seats, keep=keep),))


def measure(members: int, tenants: int) -> dict[str, float]:
    """Every member holds its part of the common pool; the seats of tenants lie with members in turn.  Each
    round the members' wanting is drawn anew, so that some seats move."""
    memory, chance = Memory(), random.Random(7)
    part = Seats()
    ReplicatedStateMachine([Roster(), part])
    contract = contract_of(members, tenants)
    names = [f"coordinator{number}" for number in range(members)]
    part.apply(EntryContext(1, 1, 0, names[0], 1), "contract", contract)
    for name in names:
        part.apply(EntryContext(2, 1, 0, name, 1), "grant", Grant("geo", "", name, 1, SEATS_A_MEMBER))
    holders = {number: names[number % members] for number in range(tenants)}
    for number, name in holders.items():
        grant = Grant("geo", f"tenant{number}", name, 1, SEATS_A_TENANT)
        part.apply(EntryContext(2, 1, 0, name, 1), "grant", grant)
    settings = SeatSettings(
        queue_place_lifetime=QUEUE_PLACE_TICKS, retry_after=RETRY_AFTER_TICKS, drift=0.001
    )
    work = SeatsWork(names[0], part, Unrecorded(), lambda now: 0, lambda: contract, True, settings)
    spent, wanted, now = [], 0, 0
    for _ in range(ROUNDS):
        now += RECALL_ROUND_TICKS
        reports = reports_of(chance, names, holders)
        used_ms, proposals = processor_ms(lambda reports=reports, now=now: work.lead(now, reports))
        spent.append(used_ms)
        wanted += len(proposals)
        for one in proposals:
            work.answered(now, one.tag, None)
    return {
        "round_ms": statistics.median(spent),
        "proposals": wanted / ROUNDS,
        "contract_kb": len(msgspec.msgpack.encode(contract)) / 1024,
        "reports_kb": sum(map(len, reports.values())) / 1024,
        "state_kb": len(msgspec.msgpack.encode(part.row())) / 1024,
        "memory_mb": memory.grown_mb(),
    }


def reports_of(chance: random.Random, names: list[str], holders: dict[int, str]) -> dict[str, bytes]:
    rows = {name: [PoolDemand("geo", "", chance.randint(0, 2 * SEATS_A_MEMBER), 0)] for name in names}
    for number, name in holders.items():
        rows[name].append(PoolDemand("geo", f"tenant{number}", chance.randint(0, SEATS_A_TENANT), 0))
    return {name: msgspec.msgpack.encode(Report(1, tuple(found))) for name, found in rows.items()}
