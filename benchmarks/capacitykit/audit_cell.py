"""The audit: so many acts recorded by one member, read back, and checked; and the heads of so
many members."""

from __future__ import annotations

import tempfile
from pathlib import Path

import msgspec

from indigohitch.fleet.audit.action_chain import ActionChain
from indigohitch.fleet.audit.check import check
from indigohitch.fleet.audit.files import ChainStore, read_chains
from indigohitch.fleet.audit.heads import AuditState, Head, Heads, KnownIncarnation
from indigohitch.fleet.membership.roster import Roster
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import Lease, LogEntry

from .measuring import Memory, processor_ms

ABOUT = b"x" * 24  # what an act was about
FAR = 10**15


def records(records: int) -> dict[str, float]:
    """Written without waiting for the disk, as acts are between two beats."""
    with tempfile.TemporaryDirectory(prefix="bench-capacity-") as folder:
        memory, state_machine = Memory(), ReplicatedStateMachine([Roster()])
        acts = ActionChain("member", lambda now: Lease(1, FAR), state_machine, ChainStore(folder), print)

        def act() -> None:
            for number in range(records):
                acts.stamp(number, "seats.given", ABOUT)

        append_ms, _ = processor_ms(act)
        append_mb = memory.grown_mb()
        acts.close()
        size = sum(path.stat().st_size for path in Path(folder).iterdir())
        memory = Memory()
        read_ms, (chains, troubles) = processor_ms(lambda: read_chains(folder))
        kept = KnownIncarnation(1, records, acts.chain.head)
        check_ms, findings = processor_ms(
            lambda: check({"member": chains}, AuditState({"member": [kept]}, [], []))
        )
        if troubles or findings:
            raise RuntimeError(f"the records measured are not whole: {troubles[:1]} {findings[:1]}")
        return {
            "append_ms": append_ms,
            "append_memory_mb": append_mb,
            "disk_kb": size / 1024,
            "read_ms": read_ms,
            "check_ms": check_ms,
            "check_memory_mb": memory.grown_mb(),
        }


def heads(members: int) -> dict[str, float]:
    """One head of each member, as comes to the ledger each second while it acts."""
    memory, part = Memory(), Heads()
    state_machine = ReplicatedStateMachine([part])
    entries = [
        LogEntry(1 + number, 1, "audit.head", msgspec.msgpack.encode(head), head.member, 1, 1)
        for number, head in enumerate(
            Head(f"coordinator{number}", 1, 100, b"d" * 16) for number in range(members)
        )
    ]
    apply_ms, _ = processor_ms(lambda: [state_machine.apply(entry) for entry in entries])
    return {
        "apply_ms": apply_ms,
        "entries_kb": sum(len(msgspec.msgpack.encode(entry)) for entry in entries) / 1024,
        "state_kb": len(msgspec.msgpack.encode(part.row())) / 1024,
        "memory_mb": memory.grown_mb(),
    }
