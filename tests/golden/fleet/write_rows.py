"""Writes golden bytes of rows that stand in entries, reports and stamps, of an audit's folder, and the names
that `status` and the control socket tell: `python write_rows.py FOLDER`.

The rows are filled by their types, each value another one, so that no class is forgotten."""

from __future__ import annotations

import itertools
import json
import sys
from pathlib import Path

import msgspec
from msgspec import inspect

from indigohitch.encoding.rows import Row
from indigohitch.fleet import fleet_clock
from indigohitch.fleet.audit import check, heads
from indigohitch.fleet.audit import work as auditing
from indigohitch.fleet.audit.action_chain import ActionChain
from indigohitch.fleet.audit.files import ChainStore
from indigohitch.fleet.audit.relay_orders import KIND as RELAY
from indigohitch.fleet.audit.relay_orders import order_digest
from indigohitch.fleet.batches import leader as batches
from indigohitch.fleet.distribution import messages
from indigohitch.fleet.distribution.content import ServiceContent, scope_digest
from indigohitch.fleet.distribution.convergence import ConvergenceReport
from indigohitch.fleet.distribution.distributor_role import convergence_status
from indigohitch.fleet.distribution.types import subscriber_mark
from indigohitch.fleet.membership import entries as wishes
from indigohitch.fleet.membership.member_work import Membership
from indigohitch.fleet.membership.roster import Roster
from indigohitch.fleet.node.assembly import parts
from indigohitch.fleet.seats import contract, server_clock
from indigohitch.fleet.seats.allocator import SeatSettings
from indigohitch.fleet.seats.part import Seats
from indigohitch.fleet.seats.work import SeatsWork
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import Lease


class Filler:
    """Values by type, none twice."""

    def __init__(self) -> None:
        self.count = itertools.count(1)

    def value(self, kind: inspect.Type) -> object:
        number = next(self.count)
        match kind:
            case inspect.BoolType():
                return bool(number % 2)
            case inspect.IntType():
                return number * 37 if number % 3 else number * 1_000_003
            case inspect.StrType():
                return f"s{number}"
            case inspect.BytesType():
                return b"b%d" % number
            case inspect.EnumType():
                return list(kind.cls)[number % len(kind.cls)]
            case inspect.VarTupleType():
                return (self.value(kind.item_type), self.value(kind.item_type))
            case inspect.TupleType():
                return tuple(self.value(each) for each in kind.item_types)
            case inspect.ListType():
                return [self.value(kind.item_type), self.value(kind.item_type)]
            case inspect.DictType():
                return {self.value(kind.key_type): self.value(kind.value_type) for _ in "ab"}
            case inspect.UnionType():
                return self.value(next(t for t in kind.types if not isinstance(t, inspect.NoneType)))
            case inspect.StructType():
                return self.row(kind.cls)
        raise TypeError(kind)

    def row(self, cls: type[Row], least: bool = False) -> Row:
        fields = inspect.type_info(cls).fields
        return cls(**{one.name: self.value(one.type) for one in fields if one.required or not least})


def both(cls: type[Row]) -> list[str]:
    """With all fields, and with those that must be given."""
    return [msgspec.msgpack.encode(Filler().row(cls, least)).hex() for least in (False, True)]


def entries() -> dict[str, list[str]]:
    """Bodies of entries, by kind."""
    return {f"{part.name}.{word}": both(cls) for part in parts() for word, cls in part.kinds.items()}


# Reports of works by the work's name, and rows that go into records of acts, by the act's kind.
REPORTS = {
    "hours": fleet_clock.ClockReading,
    "audit": auditing.Report,
    "seats": contract.Report,
    "batches": batches.Report,
}
ACTS = {"seats.given": contract.SeatUse}


def wished() -> list[str]:
    """Kinds of what a leader proposes about members."""
    state_machine = ReplicatedStateMachine([Roster()])
    membership = Membership("a", True, state_machine.parts["members"], 20_000, 0.01, lambda: 1)
    rows = (
        wishes.Evicted,
        wishes.LeaseExpired,
        wishes.Compare,
        wishes.Agreed,
        wishes.Readmitted,
        wishes.InForce,
    )
    membership.grantor.term = 1
    membership.detector.proposals = lambda now: [Filler().row(cls) for cls in rows]
    return [wanted.kind for wanted in membership.lead(0, {})]


def seats_figures() -> dict:
    settings = SeatSettings(queue_place_lifetime=20_000, retry_after=10_000, drift=0.01)
    work = SeatsWork("a", Seats(), None, lambda now: now, lambda: None, True, settings)
    counts = work.allocator.counts
    counts.given, counts.refused, counts.no_lease, counts.unheard = 1, 2, 3, 4
    return work.figures()


def told() -> dict:
    """Names in `status` and over the control socket, and what else is no row."""
    fill, service = Filler().row, ServiceContent("maps", {"m2": b"two", "m1": b"one"})
    shown = fill(contract.Pass)
    return {
        "in_force": convergence_status(fill(ConvergenceReport)),
        "seats": seats_figures(),
        "wishes": wished(),
        "audit_report": auditing.report_status(fill(auditing.Report)),
        "server_header": server_clock.format_pass(shown),
        "service_change": msgspec.msgpack.encode(fill(messages.ServiceChange)).hex(),
        "service_digest": service.digest.hex(),
        "scope_digest": scope_digest([service, ServiceContent("empty")]).hex(),
        "mark": subscriber_mark("s1").hex(),
        "acts": [RELAY, order_digest("stop 1").hex()],
        "finding": msgspec.msgpack.encode(fill(check.Finding)).hex(),
    }


def write_audit(folder: Path) -> None:
    """Two incarnations of member `m`: chains in several files."""
    state_machine = ReplicatedStateMachine([Roster(), heads.Heads()])
    lease = Lease(1, 10**9)
    store = ChainStore(folder, max_file_bytes=1200)
    acts = ActionChain("m", lambda now: lease, state_machine, store, lambda bad: None)
    now = 17_700_000_000_000
    state_machine.term, lease = 3, Lease(1, now + 900_000)
    for number in range(40):
        now += 10
        state_machine.index += 2
        if number == 25:
            lease = Lease(2, now + 800_000)
        kind, what = (
            ("seats.given", msgspec.msgpack.encode(Filler().row(contract.SeatUse))),
            ("batches.start", b"d-7.%d" % number),
            (RELAY, order_digest(f"stop {number}")),
        )[number % 3]
        assert acts.stamp(now, kind, what) is not None
    store.save_evidence("1-9", b"evidence")
    acts.close()


def write(folder: Path) -> None:
    write_audit(folder / "audit")
    rows = {"entries": entries(), "reports": {name: both(cls) for name, cls in REPORTS.items()}}
    rows["acts"] = {name: both(cls) for name, cls in ACTS.items()}
    (folder / "rows.json").write_text(json.dumps(rows, indent=1) + "\n")
    (folder / "told.json").write_text(json.dumps(told(), indent=1) + "\n")


if __name__ == "__main__":
    write(Path(sys.argv[1]))
