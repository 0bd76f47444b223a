"""A new disk's way into the ledger, and who was left out: the asking and the leader's answer."""

from __future__ import annotations

from ...net.clock import SECOND
from ..raft.interfaces import ChangeMembers, Members
from ..types import MemberId
from . import cluster_bootstrap
from .messages import JoinRequest, JoinResponse
from .phases import Phase
from .ports import NodeContext

ASK = SECOND // 2  # some beats: a change of members takes two commits
SAY = 10 * SECOND  # between two log lines on the same waiting


class JoinProcedure:
    def __init__(self, node: NodeContext) -> None:
        self.node = node
        self.admission = cluster_bootstrap.Admission()
        self.ask_due = self.say_due = 0

    def beat(self, now: int) -> None:
        node = self.node
        if node.phase is Phase.FRESH:
            self.fresh(now)
        elif node.phase is Phase.TAKING_PART and now >= self.ask_due:
            me, members = node.links.own_id, node.driver.members
            if not cluster_bootstrap.stands(me, node.votes, members):
                self.ask(now, me.number)

    # ---- with a new disk ---------------------------------------------------------------------------

    def fresh(self, now: int) -> None:
        node, voters = self.node, self.node.listed()
        welcomes = {name: link.acceptance for name, link in node.links.peers.items()}
        way, why = cluster_bootstrap.bootstrap_mode(node.text.me, node.votes, voters, welcomes)
        if way is cluster_bootstrap.BootstrapMode.FOUND:
            node.log.event("founds", voters=list(voters))
            self.begin(1, voters, cluster_bootstrap.founders(voters))
        elif way is cluster_bootstrap.BootstrapMode.ASK and now >= self.ask_due:
            self.ask(now, 0)
        if why and now >= self.say_due:
            self.say_due = now + SAY
            node.log.event(
                "not_a_member_yet",
                why=why,
                way=way.value,
                remedy="start the members it waits for; see that all files list the same",
            )

    def begin(self, number: int, founders: tuple[str, ...], members: Members) -> None:
        try:
            held = self.node.disk.initialize(number, founders, members)
        except OSError as bad:
            self.node.log.warning("not_founded", why=str(bad), remedy="make room, or mend the disk")
            return
        self.node.take_part(held)

    def ask(self, now: int, number: int) -> None:
        """All that can be reached: whoever leads answers."""
        self.ask_due = now + ASK
        node = self.node
        for name in node.links.peers:
            node.links.send_to(name, JoinRequest(node.text.me, node.token, number, node.votes))
        if node.driver.leads:
            self.asked(node.links.own_id, JoinRequest(node.text.me, node.token, number, node.votes))

    def admitted(self, who: MemberId, word: JoinResponse) -> None:
        node = self.node
        if node.phase is not Phase.FRESH or word.token != node.token or word.who.name != node.text.me:
            return
        node.log.event("admitted", number=word.who.number, by=who.name)
        self.begin(word.who.number, word.founders, Members(()))

    # ---- at the leader -----------------------------------------------------------------------------

    def asked(self, sender: MemberId, word: JoinRequest) -> None:
        """A number is told only once the entry that holds it is committed: two that both believe they lead
        never give the same one out."""
        node, name = self.node, sender.name
        listed = node.text.members.get(name)
        if not node.driver.leads or listed is None or node.phase is not Phase.TAKING_PART:
            return
        machine = node.driver.machine
        who = self.admission.who(word, machine.members, node.disk.identity.seen_numbers.get(name, 0))
        if who is None:
            node.log.warning(
                "old_disk",
                member=name,
                number=word.number,
                remedy="take its folder away and start it without",
            )
            return
        if not cluster_bootstrap.stands(who, listed.votes, machine.members):
            node.driver.step(ChangeMembers(who, as_voter=listed.votes))
        committed = machine.state.configuration.index <= machine.commit_index
        if not word.number and committed and who in machine.state.configuration.everyone:
            node.links.send_to(name, JoinResponse(who, word.token, node.disk.identity.founders))

    def take_out(self, name: str) -> str:
        """Why it can't be.  An operator's word, not the file's: a leader whose file is behind the others'
        would take out who has just come."""
        node = self.node
        if name in node.text.members:
            return f"{name} stands in this member's file: take its line away in all files first"
        found = [
            who for who in node.driver.members.voters + node.driver.members.followers if who.name == name
        ]
        for who in found:
            node.driver.step(ChangeMembers(who, remove=True))
        return "" if found else f"no member {name[:64]}"
