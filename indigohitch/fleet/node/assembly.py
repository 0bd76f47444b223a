"""Assembles the parts of the state machine and the works that every member of a fleet has."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ...config.fleet import FleetText
from ...encoding.rows import Row
from ...errors import DirectorError, error_fields
from ...log import Log
from ...net.clock import Clock
from ...net.loop import EventLoop
from ...net.worker_thread import WorkerThread
from ..audit.action_chain import ActionChain
from ..audit.files import ChainStore
from ..audit.heads import Heads
from ..audit.work import AuditWork
from ..batches.part import Batches
from ..batches.setup import create_batches_work as batches_work
from ..distribution.distributor_role import ConfirmedRead, DistributorRole
from ..distribution.messages import Report
from ..distribution.replicated_part import DistributionPart
from ..fleet_clock import FleetClock, FleetClockWork
from ..interfaces import StateMachinePart, Work
from ..membership.member_work import Membership
from ..membership.roster import Roster
from ..seats.part import Seats
from ..seats.setup import work_of as seats_work
from ..state_machine import ReplicatedStateMachine
from ..types import Lease, MemberId
from .notes import Notes


@dataclass(slots=True)
class WorkContext:
    """What the works need of their process."""

    loop: EventLoop
    log: Log
    text: FleetText
    voters: Callable[[], Collection[str]]
    lease: Callable[[int], Lease | None]
    token: Callable[[], int]  # returns 62 random bits
    read: ConfirmedRead | None = None  # starts a linearizable read
    send_to: Callable[[str, Row], bool] | None = None  # sends a message to another member


@dataclass(slots=True)
class Assembly:
    """The state machine and the works of one member."""

    state_machine: ReplicatedStateMachine
    membership: Membership
    acts: ActionChain
    audit_work: AuditWork
    works: list[Work] = field(default_factory=list)  # the membership is first
    on_rpc_completed: Callable[[int, str, int], None] = lambda now, rpc, latency: (
        None
    )  # called with the time, the RPC and its latency
    distributor_role: DistributorRole | None = None

    def on_report(self, sender: MemberId, report: Report) -> None:
        """Passes the report of another distributor to the distributor of this member, if there is one."""
        if self.distributor_role is not None:
            self.distributor_role.on_report(sender, report)

    def close_distributor(self) -> None:
        """Closes the distributor, if there is one; its subscribers connect to another one."""
        if self.distributor_role is not None:
            self.distributor_role.close()

    def close(self) -> None:
        """Closes the action chain and the distributor."""
        self.acts.close()
        self.close_distributor()


def parts() -> list[StateMachinePart]:
    """Returns new state machine parts in a fixed order; each only uses those before it."""
    return [Notes(), Roster(), FleetClock(), Heads(), Seats(), Batches(), DistributionPart()]


def assemble(context: WorkContext) -> Assembly:
    """Creates a state machine and the works that use it."""
    state_machine = ReplicatedStateMachine(parts())
    text = context.text
    membership = Membership(
        text.me,
        text.members[text.me].votes,
        state_machine.parts["members"],
        text.waits["lease"],
        text.drift,
        context.token,
    )
    fleet_clock_work = FleetClockWork(state_machine.parts["hours"], text.me, Clock.wall, context.voters)
    membership.detector.fleet_time = fleet_clock_work.time

    def log_fault(error: DirectorError) -> None:
        context.log.warning("audit", **error_fields(error))

    acts = ActionChain(
        text.me,
        context.lease,
        state_machine,
        ChainStore(f"{text.folder}/audit", start_worker=lambda: WorkerThread(context.loop)),
        log_fault,
        fleet_time=fleet_clock_work.time,
    )
    audit_work = AuditWork(acts, state_machine.parts["audit"], membership, log_fault)
    seats = seats_work(text, state_machine.parts["seats"], acts, fleet_clock_work.time)
    batches = batches_work(
        context.loop, context.log, text, state_machine.parts["batches"], acts, fleet_clock_work.time
    )
    works = [membership, fleet_clock_work, audit_work, seats, batches]
    distributor_role = _distributor(context, state_machine.parts["distribution"])
    if distributor_role is not None:
        works.append(distributor_role)
    return Assembly(state_machine, membership, acts, audit_work, works, batches.felt, distributor_role)


def _distributor(context: WorkContext, part: DistributionPart) -> DistributorRole | None:
    """Creates the distributor role; None if the file does not list this member as a distributor."""
    text = context.text
    if text.me not in text.distributors:
        return None
    addresses = {each.name: each.address for each in text.distributors.values()}
    return DistributorRole(
        context.loop,
        context.log,
        text.name,
        text.me,
        context.token(),
        addresses,
        part,
        context.read,
        context.send_to,
    )
