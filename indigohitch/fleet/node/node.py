"""A member of the fleet: its phases, its tick, and how its parts are connected."""

from __future__ import annotations

import random
from collections.abc import Callable

from ...config.fleet import FleetText
from ...log import Log
from ...net.clock import SECOND
from ...net.loop import Deadline, EventLoop
from ..membership.member_work import Phase as MemberPhase
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
from .messages import KINDS
from .phases import Phase
from .standard import Place, assemble
from .traffic import Traffic
from .wiring import connect_handlers, connect_raft, connect_transport, raft_settings
from .work_loop import WorkLoop

TICK_INTERVAL = SECOND // 10


class Node:
    """One member in its process."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        text: FleetText,
        chance: random.Random,
        ended: Callable[[str], None],
        files: FileSystem | None = None,
    ) -> None:
        """Creates a closed node of an operator's file.

        `chance` is a seeded generator, for timeouts, jitter and tokens; `ended` is called with the reason if
        this member can't go on; `files` is the file system, by default that of the machine.
        """
        self.loop = loop
        self.log = log
        self.text = text
        self.ended = ended
        self.phase = Phase.CLOSED
        self.tick_timer: Deadline | None = None
        self.token = chance.getrandbits(62)
        self.disk = Storage(
            loop, log, text.folder, text.name, text.me, lambda event: self.driver.step(event), files
        )
        self.links = Transport(loop, log, KINDS, text.name, MemberId(text.me, 0), self.token, chance.random)
        self.assembly = assemble(
            Place(
                loop,
                log,
                text,
                lambda: self.driver.voter_names,
                self.lease,
                lambda: chance.getrandbits(62),
                lambda done: self.traffic.read(done),
                self.links.send_to,
            )
        )
        self.state_machine = self.assembly.state_machine
        settings = raft_settings(text)
        self.driver = Driver(
            loop, log, self.disk, self.links, self.state_machine, settings, chance.random, self._on_broken
        )
        self.traffic = Traffic(
            loop.clock, self.links, self.driver, text.me, self.token, 2 * text.waits["election"]
        )
        self.membership_driver = MembershipDriver(
            log,
            loop.clock,
            self.assembly.membership,
            self.traffic.proposals,
            self.traffic.read,
            self.traffic.send_to,
            lambda: self.assembly.acts.number,
        )
        self.work_loop = WorkLoop(
            loop,
            log,
            self.assembly.works,
            self.traffic.proposals,
            lambda work: work is self.assembly.membership or self.membership_driver.may_propose,
            self.traffic.send_due,
        )
        self.join = JoinProcedure(self)
        self.leaving = Leaving(self)
        self.introductions = Introductions(self.disk, self.links, self.configured_voters)
        self.driver.on_applied = self._on_applied
        self.driver.on_role_changed = self._on_role_changed
        connect_raft(self.driver, self.traffic, self.work_loop)
        connect_handlers(self.traffic, self.assembly, self.membership_driver, self.join)
        connect_transport(self.links, self.traffic, self.introductions)

    # ---- configuration -----------------------------------------------------------------------------

    @property
    def votes(self) -> bool:
        """Whether this member votes, by its file."""
        return self.text.members[self.text.me].votes

    def configured_voters(self) -> tuple[str, ...]:
        """Returns the names of the voters in its file, sorted."""
        return tuple(sorted(name for name, member in self.text.members.items() if member.votes))

    def reread(self, text: FleetText) -> None:
        """Takes addresses and members of a file read again; its other lines need a restart."""
        self.text.members = text.members
        self.text.edition = text.edition
        self.text.parts = text.parts
        self._set_peers()

    def _set_peers(self) -> None:
        self.links.set_peers(
            {name: member.address for name, member in self.text.members.items() if name != self.text.me}
        )

    # ---- phases ------------------------------------------------------------------------------------

    def enter(self, phase: Phase) -> None:
        """Enters a phase and logs it."""
        self.log.event("node", was=self.phase.value, now=phase.value)
        self.phase = phase

    def open(self) -> None:
        """Opens disk and links and starts to tick; if it raises DirectorError or OSError, it stays closed."""
        recovered = self.disk.open()
        try:
            self.links.start(self.text.members[self.text.me].address)
        except OSError:
            self.disk.close()
            raise
        self._set_peers()
        if recovered is None:
            self.enter(Phase.FRESH)
        else:
            self.participate(recovered)
        self.tick()

    def participate(self, recovered: RecoveredState) -> None:
        """Starts Raft as the member that the disk says this is."""
        identity = self.disk.identity
        own_id = MemberId(identity.name, identity.number)
        self.log.event(
            "member",
            number=own_id.number,
            term=recovered.hard_state.term,
            snapshot=recovered.snapshot.index,
            entries=len(recovered.entries),
        )
        self.links.set_own_id(own_id)
        self.enter(Phase.TAKING_PART)
        self.driver.start(own_id, recovered)

    def _on_broken(self, error: BaseException) -> None:
        """Stops: going on could break a promise, and the others do without this member."""
        self.loop.failed(error)
        self.stop(
            f"{type(error).__name__}: {error}",
            "keep the folder for who looks into it; start the member "
            "again, or without its folder if it comes again",
        )

    def stop(self, why: str, remedy: str) -> None:
        """Stops for good after an error, and reports it."""
        self.log.warning("member_stops", why=why, remedy=remedy)
        self.enter(Phase.BROKEN)
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        self.driver.end()
        self.assembly.stop_distributing()
        self.links.close()
        self.ended(why)

    def close(self) -> None:
        """Closes the node; disk and port may be another process' from here on."""
        if self.phase is Phase.CLOSED:
            return
        if self.tick_timer is not None:
            self.tick_timer.cancel()
            self.tick_timer = None
        self.assembly.close()
        self.disk.close()  # first: messages that wait for its last writes may still be sent
        self.driver.end()
        self.links.close()
        self.enter(Phase.CLOSED)

    # ---- by time -----------------------------------------------------------------------------------

    def tick(self) -> None:
        """Does what is due, and schedules the next tick."""
        self.tick_timer = self.loop.call_after(TICK_INTERVAL, self.tick)
        now = self.loop.clock.now()
        self.links.tick()
        self.join.tick(now)
        if self.phase in (Phase.TAKING_PART, Phase.LEAVING):
            self.traffic.reads.tick(now)
            self.traffic.send_due()
        if self.is_incarnation_active:
            self.membership_driver.renew(now, self.driver.leader_name, self.work_loop.reports)
            self.work_loop.tick(now, self.lease(now))
        # One elected right after a start decides nothing until its state has what was committed before.
        if self.phase is Phase.TAKING_PART and self.driver.machine.has_committed_in_term:
            self.lead(now)
        self.membership_driver.follow_phase()

    def lead(self, now: int) -> None:
        """Gives the works their turn as those of the leader."""
        self.work_loop.lead(now, self.assembly.membership.reports_for)
        if self.assembly.membership.phase is MemberPhase.DIFFERS:
            # No member is to follow a state that differs from the others'.
            self.driver.step(TransferLeadership())

    @property
    def is_incarnation_active(self) -> bool:
        """Whether its incarnation counts: a front under upgrade acts until disk and port are handed over."""
        return self.phase is Phase.TAKING_PART or (
            self.phase is Phase.LEAVING and self.assembly.membership.phase is not MemberPhase.LEFT
        )

    def lease(self, now: int) -> Lease | None:
        """Returns the lease held now, None if there is none."""
        return self.membership_driver.lease(now) if self.is_incarnation_active else None

    # ---- events ------------------------------------------------------------------------------------

    def _on_applied(self, entry: LogEntry, outcome: Outcome) -> None:
        self.traffic.proposals.on_applied(entry, outcome)
        self.traffic.reads.on_applied(self.state_machine.index)
        self.membership_driver.follow_phase()
        self.work_loop.on_applied(entry, outcome)
        self.membership_driver.follow_phase()

    def _on_role_changed(self, change: RoleChanged) -> None:
        self.membership_driver.on_role_changed(change)
        if change.leader is not None:
            self.traffic.proposals.resend_all(self.loop.clock.now())
            self.loop.call_after(0, self.traffic.send_due)
