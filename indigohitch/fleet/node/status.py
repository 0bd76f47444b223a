"""The status of a node, for the `status` command."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..types import MemberId

if TYPE_CHECKING:
    from .node import Node


def _member_fields(member: MemberId) -> dict[str, object]:
    return {"name": member.name, "number": member.number}


def node_status(node: Node) -> dict[str, object]:
    """Returns the status of a node as JSON values."""
    now = node.loop.clock.now()
    driver = node.driver
    raft = driver.raft_node
    lease = node.lease(now)
    members = driver.members
    status: dict[str, object] = {
        "name": node.text.name,
        "me": _member_fields(node.links.own_id),
        "phase": node.phase.value,
        "role": raft.role.value if raft else "none",
        "term": raft.term if raft else 0,
        "leader": driver.leader.name if driver.leader else "",
        "index": raft.commit_index if raft else 0,
        "applied": node.state_machine.index,
        "time": node.state_machine.time,
        "incarnation": node.assembly.membership.incarnation,
        "lease_ms": lease.remaining(now) / 10 if lease else 0,
        "voters": [_member_fields(voter) for voter in members.voters],
        "followers": [_member_fields(follower) for follower in members.followers],
        "edition": node.text.edition,
        "proposals": len(node.messaging.proposals.pending),
        "proposals_waiting": len(node.work_loop.waiting),
        "reads": len(node.messaging.reads.pending),
        "disk": node.disk.figures(),
        "links": node.links.status(),
        "works": node.work_loop.status(),
    }
    if driver.leads:
        granted_until = node.assembly.membership.grantor.granted_until
        status["leases"] = {
            f"{name} {incarnation}": max(0, end - now) / 10
            for (name, incarnation), end in sorted(granted_until.items())
        }
    return status
