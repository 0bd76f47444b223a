"""Runs a member of the fleet: its phases, its periodic tick, and the connections between its parts."""

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
from .assembly import WorkContext, assemble
from .driver import Driver
from .handshake_replies import HandshakeReplies
from .join import JoinProcedure
from .leaving import LeaveProcedure
from .membership import MembershipDriver
from .messages import KINDS
from .messaging import Messaging
from .phases import Phase
from .wiring import connect_handlers, connect_raft, connect_transport, raft_settings
from .work_loop import WorkLoop

TICK_INTERVAL = SECOND // 10


class Node:
    """A member of the fleet in its process."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        text: FleetText,
        rng: random.Random,
        on_ended: Callable[[str], None],
        files: FileSystem | None = None,
    ) -> None:
        """Creates a closed node from the fleet section of an operator's file.

        `rng` is a seeded generator for timeouts, jitter and tokens; `on_ended` is called with the reason if
        this member can't go on; `files` is the file system, by default that of the machine.
        """
        self.loop = loop
        self.log = log
        self.text = text
        self.on_ended = on_ended
        self.phase = Phase.CLOSED
        self.tick_timer: Deadline | None = None
        self.token = rng.getrandbits(62)
        self.disk = Storage(
            loop, log, text.folder, text.name, text.me, lambda event: self.driver.step(event), files
        )
        self.links = Transport(loop, log, KINDS, text.name, MemberId(text.me, 0), self.token, rng.random)
        self.assembly = assemble(
            WorkContext(
                loop,
                log,
                text,
                lambda: self.driver.voter_names,
                self.lease,
                lambda: rng.getrandbits(62),
                lambda done: self.messaging.read(done),
                self.links.send_to,
            )
        )
        self.state_machine = self.assembly.state_machine
        settings = raft_settings(text)
        self.driver = Driver(
            loop, log, self.disk, self.links, self.state_machine, settings, rng.random, self._on_broken
        )
        self.messaging = Messaging(
            loop.clock, self.links, self.driver, text.me, self.token, 2 * text.waits["election"]
        )
        self.membership_driver = MembershipDriver(
            log,
            loop.clock,
            self.assembly.membership,
            self.messaging.proposals,
            self.messaging.read,
            self.messaging.send_to,
            lambda: self.assembly.acts.number,
        )
        self.work_loop = WorkLoop(
            loop,
            log,
            self.assembly.works,
            self.messaging.proposals,
            lambda work: work is self.assembly.membership or self.membership_driver.may_propose,
            self.messaging.send_due,
        )
        self.join = JoinProcedure(self)
        self.leaving = LeaveProcedure(self)
        self.handshake_replies = HandshakeReplies(self.disk, self.links, self.configured_voters)
        self.driver.on_applied = self._on_applied
        self.driver.on_role_changed = self._on_role_changed
        connect_raft(self.driver, self.messaging, self.work_loop)
        connect_handlers(self.messaging, self.assembly, self.membership_driver, self.join)
        connect_transport(self.links, self.messaging, self.handshake_replies)

    # ---- configuration -----------------------------------------------------------------------------

    @property
    def votes(self) -> bool:
        """Whether the file lists this member as a voter."""
        return self.text.members[self.text.me].votes

    def configured_voters(self) -> tuple[str, ...]:
        """Returns the names of the voters in the file, sorted."""
        return tuple(sorted(name for name, member in self.text.members.items() if member.votes))

    def reread(self, text: FleetText) -> None:
        """Applies addresses and members after a reload; other changes of the file need a restart."""
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
        """Opens disk and links, and starts to tick; stays closed if it raises DirectorError or OSError."""
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
        """Starts Raft under the identity stored on the disk."""
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
        """Stops the member: going on could break a vote or an acknowledgement, and the others can go on."""
        self.loop.failed(error)
        self.stop(
            f"{type(error).__name__}: {error}",
            "keep the folder for an investigation; start the member "
            "again, or without its folder if the error recurs",
        )

    def stop(self, why: str, remedy: str) -> None:
        """Stops permanently after an error, and reports it."""
        self.log.warning("member_stops", why=why, remedy=remedy)
        self.enter(Phase.BROKEN)
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        self.driver.end()
        self.assembly.close_distributor()
        self.links.close()
        self.on_ended(why)

    def close(self) -> None:
        """Closes the node; another process may then open its disk and port."""
        if self.phase is Phase.CLOSED:
            return
        if self.tick_timer is not None:
            self.tick_timer.cancel()
            self.tick_timer = None
        self.assembly.close()
        self.disk.close()  # before the links: messages that wait for its last writes are still sent
        self.driver.end()
        self.links.close()
        self.enter(Phase.CLOSED)

    # ---- timer -------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Runs everything that is due, and schedules the next tick."""
        self.tick_timer = self.loop.call_after(TICK_INTERVAL, self.tick)
        now = self.loop.clock.now()
        self.links.tick()
        self.join.tick(now)
        if self.phase in (Phase.TAKING_PART, Phase.LEAVING):
            self.messaging.reads.tick(now)
            self.messaging.send_due()
        if self.is_incarnation_active:
            self.membership_driver.renew(now, self.driver.leader_name, self.work_loop.reports)
            self.work_loop.tick(now, self.lease(now))
        # A leader elected right after its start makes no decision before its state has all committed entries.
        if self.phase is Phase.TAKING_PART and self.driver.raft_node.has_committed_in_term:
            self.lead(now)
        self.membership_driver.follow_phase()

    def lead(self, now: int) -> None:
        """Runs the leader's duties of the works."""
        self.work_loop.lead(now, self.assembly.membership.reports_for)
        if self.assembly.membership.phase is MemberPhase.DIFFERS:
            # A member whose state differs from the others' must not lead.
            self.driver.step(TransferLeadership())

    @property
    def is_incarnation_active(self) -> bool:
        """Whether its incarnation may act: in an upgrade it may until disk and port are handed over."""
        return self.phase is Phase.TAKING_PART or (
            self.phase is Phase.LEAVING and self.assembly.membership.phase is not MemberPhase.LEFT
        )

    def lease(self, now: int) -> Lease | None:
        """Returns the lease held now; None if there is none."""
        return self.membership_driver.lease(now) if self.is_incarnation_active else None

    # ---- events ------------------------------------------------------------------------------------

    def _on_applied(self, entry: LogEntry, outcome: Outcome) -> None:
        self.messaging.proposals.on_applied(entry, outcome)
        self.messaging.reads.on_applied(self.state_machine.index)
        self.membership_driver.follow_phase()
        self.work_loop.on_applied(entry, outcome)
        self.membership_driver.follow_phase()

    def _on_role_changed(self, change: RoleChanged) -> None:
        self.membership_driver.on_role_changed(change)
        if change.leader is not None:
            self.messaging.proposals.resend_all(self.loop.clock.now())
            self.loop.call_after(0, self.messaging.send_due)
