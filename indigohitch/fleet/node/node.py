"""A member of the fleet: its phases, its beat, and how its parts hang together."""

from __future__ import annotations

import random
from collections.abc import Callable

from ...config.fleet import FleetText
from ...log import Log
from ...net.clock import SECOND
from ...net.loop import Deadline, EventLoop
from ..distribution.messages import Report
from ..membership.member_work import Phase as Member
from ..membership.messages import LeaseNotRenewed, LeaseRenewed, RenewLease
from ..raft.interfaces import RecoveredState, RoleChanged, TransferLeadership
from ..storage.files import FileSystem
from ..storage.store import Storage
from ..transport.links import Transport
from ..types import Lease, LogEntry, MemberId, Outcome
from .driver import Driver
from .introductions import Introductions
from .join import JoinProcedure
from .leaving import Leaving
from .membership import MembershipDriver
from .messages import KINDS, JoinRequest, JoinResponse
from .phases import Phase
from .standard import Place, assembled
from .traffic import Traffic
from .work_loop import WorkLoop

BEAT = SECOND // 10
# Of the machine: a message of entries small enough that a beat is not late behind it on a slow link, and so
# many of them under way that 50 MB/s pass at a round trip of 10 ms.
BOUNDS = {"append_most": 64 << 10, "piece": 64 << 10, "inflight": 8, "proposals_most": 1024}


class Node:
    """`ended(why)`: this member can't go on.  `chance`: seeded; for waits, spreads and tokens."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        text: FleetText,
        chance: random.Random,
        ended: Callable[[str], None],
        files: FileSystem | None = None,
    ) -> None:
        self.loop, self.log, self.text, self.ended = loop, log, text, ended
        self.phase = Phase.CLOSED
        self.beating: Deadline | None = None
        self.token = chance.getrandbits(62)
        self.disk = Storage(loop, log, text.folder, text.name, text.me, self.disk_told, files)
        self.links = Transport(loop, log, KINDS, text.name, MemberId(text.me, 0), self.token, chance.random)
        place = Place(loop, log, text, self.voters, self.lease, lambda: chance.getrandbits(62))
        place.read, place.say = lambda done: self.traffic.read(done), self.links.send_to
        self.assembly = assembled(place)
        self.state_machine = self.assembly.state_machine
        waits: dict[str, int] = text.waits
        bootstrap = BOUNDS | {"election": waits["election"], "beat": waits["beat"], "log_most": text.limit}
        self.driver = Driver(
            loop, log, self.disk, self.links, self.state_machine, bootstrap, chance.random, self.broken
        )
        self.traffic = Traffic(
            loop.clock, self.links, self.driver, text.me, self.token, 2 * waits["election"]
        )
        membership, proposals = self.assembly.membership, self.traffic.proposals
        self.belonging = MembershipDriver(
            log,
            loop.clock,
            membership,
            proposals,
            self.traffic.read,
            self.traffic.tell,
            lambda: self.assembly.acts.number,
        )
        self.working = WorkLoop(
            loop,
            log,
            self.assembly.works,
            proposals,
            lambda work: work is membership or self.belonging.may_propose,
            self.traffic.send,
        )
        self.admitting, self.leaving = JoinProcedure(self), Leaving(self)
        self.introductions = Introductions(self.disk, self.links, self.listed)
        self.wire()

    def wire(self) -> None:
        """Who hears whom."""
        driver, links = self.driver, self.links
        driver.on_applied, driver.on_restored = self.applied, self.working.restored
        driver.on_turned, driver.on_readable = self.traffic.turned, self.traffic.readable
        driver.on_became = self.became
        self.traffic.handlers |= {
            JoinRequest: self.admitting.asked,
            JoinResponse: self.admitting.admitted,
            Report: self.assembly.heard_report,
            **dict.fromkeys((RenewLease, LeaseRenewed, LeaseNotRenewed), self.belonging.heard),
        }
        links.deliver, links.record_peer = self.traffic.heard, self.introductions.met
        links.make_acceptance, links.highest_number = self.introductions.welcome, self.introductions.highest

    def disk_told(self, told) -> None:
        self.driver.step(told)

    # ---- what the file says ------------------------------------------------------------------------

    @property
    def votes(self) -> bool:
        return self.text.members[self.text.me].votes

    def listed(self) -> tuple[str, ...]:
        return tuple(sorted(name for name, member in self.text.members.items() if member.votes))

    def voters(self) -> tuple[str, ...]:
        return tuple(who.name for who in self.driver.members.voters)

    def reread(self, text: FleetText) -> None:
        """Addresses and members as the file has them now; its other lines take a start."""
        self.text.members, self.text.edition, self.text.parts = text.members, text.edition, text.parts
        self.set_peers()

    def set_peers(self) -> None:
        self.links.set_peers(
            {name: member.address for name, member in self.text.members.items() if name != self.text.me}
        )

    # ---- phases ------------------------------------------------------------------------------------

    def be(self, phase: Phase) -> None:
        self.log.event("node", was=self.phase.value, now=phase.value)
        self.phase = phase

    def open(self) -> None:
        """Raises Trouble and OSError: it stays closed."""
        held = self.disk.open()
        try:
            self.links.start(self.text.members[self.text.me].address)
        except OSError:
            self.disk.close()
            raise
        self.set_peers()
        if held is None:
            self.be(Phase.FRESH)
        else:
            self.take_part(held)
        self.beat()

    def take_part(self, held: RecoveredState) -> None:
        identity = self.disk.identity
        me = MemberId(identity.name, identity.number)
        self.log.event(
            "member",
            number=me.number,
            term=held.hard_state.term,
            snapshot=held.snapshot.index,
            entries=len(held.entries),
        )
        self.links.set_own_id(me)
        self.be(Phase.TAKING_PART)
        self.driver.begin(me, held)

    def broken(self, bad: BaseException) -> None:
        """Going on could break a promise: the others do without this one."""
        self.loop.failed(bad)
        self.stop(
            f"{type(bad).__name__}: {bad}",
            "keep the folder for who looks into it; start the member "
            "again, or without its folder if it comes again",
        )

    def stop(self, why: str, remedy: str) -> None:
        self.log.warning("member_stops", why=why, remedy=remedy)
        self.be(Phase.BROKEN)
        if self.beating is not None:
            self.beating.cancel()
        self.driver.end()
        self.assembly.stop_distributing()
        self.links.close()
        self.ended(why)

    def close(self) -> None:
        """Disk and port may be another process' from here on."""
        if self.phase is Phase.CLOSED:
            return
        if self.beating is not None:
            self.beating.cancel()
            self.beating = None
        self.assembly.close()
        self.disk.close()  # first: what it still tells may be said
        self.driver.end()
        self.links.close()
        self.be(Phase.CLOSED)

    # ---- the beat ----------------------------------------------------------------------------------

    def beat(self) -> None:
        self.beating = self.loop.call_after(BEAT, self.beat)
        now = self.loop.clock.now()
        self.links.tick()
        self.admitting.beat(now)
        if self.phase in (Phase.TAKING_PART, Phase.LEAVING):
            self.traffic.reads.beat(now)
            self.traffic.send()
        if self.works:
            self.belonging.renew(now, self.leader_name, self.working.reports)
            self.working.turn(now, self.lease(now))
        # One elected right after a start decides nothing until its state holds what was committed before.
        if self.phase is Phase.TAKING_PART and self.driver.machine.has_committed_in_term:
            self.lead(now)
        self.belonging.look()

    def lead(self, now: int) -> None:
        self.working.lead(now, self.assembly.membership.reports_for)
        if self.assembly.membership.phase is Member.DIFFERS:
            self.driver.step(TransferLeadership())  # nobody is to go by a state that is not the others'

    @property
    def leader_name(self) -> str:
        return self.driver.leader.name if self.driver.leader is not None else ""

    @property
    def works(self) -> bool:
        """Its incarnation counts: a front that is being upgraded acts until disk and port are given over."""
        return self.phase is Phase.TAKING_PART or (
            self.phase is Phase.LEAVING and self.assembly.membership.phase is not Member.LEFT
        )

    def lease(self, now: int) -> Lease | None:
        return self.belonging.lease(now) if self.works else None

    # ---- what is told ------------------------------------------------------------------------------

    def applied(self, entry: LogEntry, outcome: Outcome) -> None:
        self.traffic.proposals.applied(entry, outcome)
        self.traffic.reads.applied(self.state_machine.index)
        self.belonging.look()
        self.working.applied(entry, outcome)
        self.belonging.look()

    def became(self, became: RoleChanged) -> None:
        self.belonging.became(became)
        if became.leader is not None:
            self.traffic.proposals.hurry(self.loop.clock.now())
            self.loop.call_after(0, self.traffic.send)
