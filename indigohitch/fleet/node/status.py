"""What a node tells of itself in `status`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..types import MemberId

if TYPE_CHECKING:
    from .node import Node


def who(one: MemberId) -> dict:
    return {"name": one.name, "number": one.number}


def figures(node: Node) -> dict:
    now, driver = node.loop.clock.now(), node.driver
    machine, lease = driver.machine, node.lease(now)
    members = driver.members
    found = {
        "name": node.text.name,
        "me": who(node.links.own_id),
        "phase": node.phase.value,
        "role": machine.role.value if machine else "none",
        "term": machine.term if machine else 0,
        "leader": driver.leader.name if driver.leader else "",
        "index": machine.commit_index if machine else 0,
        "applied": node.state_machine.index,
        "time": node.state_machine.time,
        "incarnation": node.assembly.membership.incarnation,
        "lease_ms": lease.remaining(now) / 10 if lease else 0,
        "voters": [who(one) for one in members.voters],
        "followers": [who(one) for one in members.followers],
        "edition": node.text.edition,
        "proposals": len(node.traffic.proposals.open),
        "proposals_waiting": len(node.working.waiting),
        "reads": len(node.traffic.reads.open),
        "disk": node.disk.figures(),
        "links": node.links.status(),
        "works": node.working.figures(),
    }
    if driver.leads:
        until = node.assembly.membership.grantor.granted_until
        found["leases"] = {
            f"{name} {incarnation}": max(0, end - now) / 10
            for (name, incarnation), end in sorted(until.items())
        }
    return found
