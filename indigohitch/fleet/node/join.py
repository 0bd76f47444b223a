"""Brings a member into the Raft configuration: its request, and the leader's reply."""

from __future__ import annotations

from ...net.clock import SECOND
from ..raft.interfaces import ChangeMembers, Members
from ..types import MemberId
from .cluster_bootstrap import Admission, BootstrapMode, bootstrap_mode, initial_members, is_configured
from .interfaces import NodeContext
from .messages import JoinRequest, JoinResponse
from .phases import Phase

REQUEST_INTERVAL = SECOND // 2  # several heartbeats: a membership change takes two commits
LOG_INTERVAL = 10 * SECOND  # between log lines while it waits


class JoinProcedure:
    """Joins this member if it has a new disk or was removed; as leader admits other members."""

    def __init__(self, node: NodeContext) -> None:
        """Creates the procedure of a node."""
        self.node = node
        self.admission = Admission()
        self.request_due_at = 0
        self.log_due_at = 0

    def tick(self, now: int) -> None:
        """Bootstraps, requests to join or waits, depending on the phase of the node."""
        node = self.node
        if node.phase is Phase.FRESH:
            self._start_fresh(now)
        elif node.phase is Phase.TAKING_PART and now >= self.request_due_at:
            own_id = node.links.own_id
            if not is_configured(own_id, node.votes, node.driver.members):
                self._request(now, own_id.number)

    # ---- with a new disk ---------------------------------------------------------------------------

    def _start_fresh(self, now: int) -> None:
        node = self.node
        voters = node.configured_voters()
        replies = {name: link.acceptance for name, link in node.links.peers.items()}
        mode, reason = bootstrap_mode(node.text.me, node.votes, voters, replies)
        if mode is BootstrapMode.BOOTSTRAP:
            node.log.event("founds", voters=list(voters))
            self._initialize(1, voters, initial_members(voters))
        elif mode is BootstrapMode.REQUEST and now >= self.request_due_at:
            self._request(now, 0)
        if reason and now >= self.log_due_at:
            self.log_due_at = now + LOG_INTERVAL
            node.log.event(
                "not_a_member_yet",
                why=reason,
                way=mode.value,
                remedy="start the members it waits for; list the same members in all files",
            )

    def _initialize(self, number: int, founders: tuple[str, ...], members: Members) -> None:
        try:
            recovered = self.node.disk.initialize(number, founders, members)
        except OSError as error:
            self.node.log.warning(
                "not_founded", why=str(error), remedy="free space on the disk, or repair it"
            )
            return
        self.node.participate(recovered)

    def _request(self, now: int, number: int) -> None:
        """Sends a request to all peers; the leader replies."""
        self.request_due_at = now + REQUEST_INTERVAL
        node = self.node
        request = JoinRequest(node.text.me, node.token, number, node.votes)
        for name in node.links.peers:
            node.links.send_to(name, request)
        if node.driver.leads:
            self.on_request(node.links.own_id, request)

    def on_response(self, sender: MemberId, response: JoinResponse) -> None:
        """Starts as the member whose number the leader assigned to this start."""
        node = self.node
        is_for_this_start = response.token == node.token and response.who.name == node.text.me
        if node.phase is not Phase.FRESH or not is_for_this_start:
            return
        node.log.event("admitted", number=response.who.number, by=sender.name)
        self._initialize(response.who.number, response.founders, Members(()))

    # ---- at the leader -----------------------------------------------------------------------------

    def on_request(self, sender: MemberId, request: JoinRequest) -> None:
        """Proposes the configuration change, and replies once the entry with the number is committed.

        So two members that both believe to be the leader never assign the same number.
        """
        node = self.node
        name = sender.name
        configured = node.text.members.get(name)
        if not node.driver.leads or configured is None or node.phase is not Phase.TAKING_PART:
            return
        raft = node.driver.raft_node
        member = self.admission.assign(request, raft.members, node.disk.identity.seen_numbers.get(name, 0))
        if member is None:
            node.log.warning(
                "old_disk",
                member=name,
                number=request.number,
                remedy="move its folder away and start the member without it",
            )
            return
        if not is_configured(member, configured.votes, raft.members):
            node.driver.step(ChangeMembers(member, as_voter=configured.votes))
        committed = raft.state.configuration.index <= raft.commit_index
        if not request.number and committed and member in raft.state.configuration.all_members:
            node.links.send_to(name, JoinResponse(member, request.token, node.disk.identity.founders))

    def remove_member(self, name: str) -> str:
        """Removes a member on an operator's command; returns the reason for a refusal, "" if it is proposed.

        A missing line in the file removes no member: a leader whose file is older than the others' would
        remove a member that has just joined.
        """
        node = self.node
        if name in node.text.members:
            return f"{name} is still in this member's file: remove its line from all files first"
        members = node.driver.members
        matching = [member for member in members.voters + members.followers if member.name == name]
        for member in matching:
            node.driver.step(ChangeMembers(member, remove=True))
        return "" if matching else f"no member {name[:64]}"
