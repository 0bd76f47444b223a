"""How a member gets into Raft's configuration: the request, and the leader's reply."""

from __future__ import annotations

from ...net.clock import SECOND
from ..raft.interfaces import ChangeMembers, Members
from ..types import MemberId
from .cluster_bootstrap import Admission, BootstrapMode, bootstrap_mode, initial_members, is_configured
from .messages import JoinRequest, JoinResponse
from .phases import Phase
from .ports import NodeContext

REQUEST_INTERVAL = SECOND // 2  # some heartbeats: a change of members takes two commits
LOG_INTERVAL = 10 * SECOND  # between two log lines on the same waiting


class JoinProcedure:
    """Joins a member with a new disk, or one that was left out, and admits others at the leader."""

    def __init__(self, node: NodeContext) -> None:
        """Creates the procedure of that node."""
        self.node = node
        self.admission = Admission()
        self.request_due_at = 0
        self.log_due_at = 0

    def tick(self, now: int) -> None:
        """Bootstraps, requests to join or waits, as the node's phase wants it."""
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
        mode, why = bootstrap_mode(node.text.me, node.votes, voters, replies)
        if mode is BootstrapMode.FOUND:
            node.log.event("founds", voters=list(voters))
            self._found(1, voters, initial_members(voters))
        elif mode is BootstrapMode.ASK and now >= self.request_due_at:
            self._request(now, 0)
        if why and now >= self.log_due_at:
            self.log_due_at = now + LOG_INTERVAL
            node.log.event(
                "not_a_member_yet",
                why=why,
                way=mode.value,
                remedy="start the members it waits for; see that all files list the same",
            )

    def _found(self, number: int, founders: tuple[str, ...], members: Members) -> None:
        try:
            recovered = self.node.disk.initialize(number, founders, members)
        except OSError as error:
            self.node.log.warning("not_founded", why=str(error), remedy="make room, or mend the disk")
            return
        self.node.participate(recovered)

    def _request(self, now: int, number: int) -> None:
        """Sends a request to all that can be reached: whoever leads replies."""
        self.request_due_at = now + REQUEST_INTERVAL
        node = self.node
        request = JoinRequest(node.text.me, node.token, number, node.votes)
        for name in node.links.peers:
            node.links.send_to(name, request)
        if node.driver.leads:
            self.on_request(node.links.own_id, request)

    def on_response(self, sender: MemberId, response: JoinResponse) -> None:
        """Takes the number that the leader has assigned to this start."""
        node = self.node
        is_own = response.token == node.token and response.who.name == node.text.me
        if node.phase is not Phase.FRESH or not is_own:
            return
        node.log.event("admitted", number=response.who.number, by=sender.name)
        self._found(response.who.number, response.founders, Members(()))

    # ---- at the leader -----------------------------------------------------------------------------

    def on_request(self, sender: MemberId, request: JoinRequest) -> None:
        """Changes the configuration, and replies once the entry with the number is committed.

        Two members that both believe they lead thus never assign the same number.
        """
        node = self.node
        name = sender.name
        configured = node.text.members.get(name)
        if not node.driver.leads or configured is None or node.phase is not Phase.TAKING_PART:
            return
        raft = node.driver.machine
        member = self.admission.assign(request, raft.members, node.disk.identity.seen_numbers.get(name, 0))
        if member is None:
            node.log.warning(
                "old_disk",
                member=name,
                number=request.number,
                remedy="take its folder away and start it without",
            )
            return
        if not is_configured(member, configured.votes, raft.members):
            node.driver.step(ChangeMembers(member, as_voter=configured.votes))
        committed = raft.state.configuration.index <= raft.commit_index
        if not request.number and committed and member in raft.state.configuration.everyone:
            node.links.send_to(name, JoinResponse(member, request.token, node.disk.identity.founders))

    def remove_member(self, name: str) -> str:
        """Removes a member by an operator's command; returns why that can't be, "" if it is under way.

        The files alone do not remove one: a leader whose file is behind the others' would remove a member
        that has just joined.
        """
        node = self.node
        if name in node.text.members:
            return f"{name} stands in this member's file: take its line away in all files first"
        members = node.driver.members
        found = [member for member in members.voters + members.followers if member.name == name]
        for member in found:
            node.driver.step(ChangeMembers(member, remove=True))
        return "" if found else f"no member {name[:64]}"
