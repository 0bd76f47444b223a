"""The parts of the state machine and the works that every member of a fleet has."""

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
from ..audit.acts import ActionChain
from ..audit.files import Store
from ..audit.heads import Heads
from ..audit.work import AuditWork
from ..batches.part import Batches
from ..batches.setup import work_of as batches_work
from ..distribution.distributor_role import ConfirmedRead, DistributorRole
from ..distribution.messages import Report
from ..distribution.replicated_part import DistributionPart
from ..fleet_clock import FleetClock, FleetClockWork
from ..interfaces import StateMachinePart, Work
from ..membership.member_work import Membership
from ..membership.roster import Roster
from ..seats.configured import work_of as seats_work
from ..seats.part import Seats
from ..state_machine import ReplicatedStateMachine
from ..types import Lease, MemberId
from .notes import Notes


@dataclass(slots=True)
class Place:
    """The process of a work."""

    loop: EventLoop
    log: Log
    text: FleetText
    voters: Callable[[], Collection[str]]
    lease: Callable[[int], Lease | None]
    token: Callable[[], int]  # 62 bits of chance
    read: ConfirmedRead | None = None  # confirmed by a majority
    send_to: Callable[[str, Row], bool] | None = None  # to another member


@dataclass(slots=True)
class Assembly:
    """The state machine and the works of one member."""

    state_machine: ReplicatedStateMachine
    membership: Membership
    acts: ActionChain
    auditing: AuditWork
    works: list[Work] = field(default_factory=list)  # the membership first
    on_rpc_completed: Callable[[int, str, int], None] = lambda now, rpc, latency: (
        None
    )  # time, RPC and latency
    distributing: DistributorRole | None = None

    def on_report(self, sender: MemberId, report: Report) -> None:
        """Takes the report of another distributor."""
        if self.distributing is not None:
            self.distributing.on_report(sender, report)

    def stop_distributing(self) -> None:
        """Closes the distributor; its subscribers connect to another one."""
        if self.distributing is not None:
            self.distributing.close()

    def close(self) -> None:
        """Closes the action chain and the distributor."""
        self.acts.close()
        self.stop_distributing()


def parts() -> list[StateMachinePart]:
    """Returns new parts in a fixed order; each only uses those before it."""
    return [Notes(), Roster(), FleetClock(), Heads(), Seats(), Batches(), DistributionPart()]


def assemble(place: Place) -> Assembly:
    """Returns a new state machine and the works over it."""
    state_machine = ReplicatedStateMachine(parts())
    text = place.text
    membership = Membership(
        text.me,
        text.members[text.me].votes,
        state_machine.parts["members"],
        text.waits["lease"],
        text.drift,
        place.token,
    )
    hours = FleetClockWork(state_machine.parts["hours"], text.me, Clock.wall, place.voters)
    membership.detector.fleet_time = hours.time

    def log_fault(error: DirectorError) -> None:
        place.log.warning("audit", **error_fields(error))

    acts = ActionChain(
        text.me,
        place.lease,
        state_machine,
        Store(f"{text.folder}/audit", begun=lambda: WorkerThread(place.loop)),
        log_fault,
        when=hours.time,
    )
    auditing = AuditWork(acts, state_machine.parts["audit"], membership, log_fault)
    seats = seats_work(text, state_machine.parts["seats"], acts, hours.time)
    batches = batches_work(place.loop, place.log, text, state_machine.parts["batches"], acts, hours.time)
    works = [membership, hours, auditing, seats, batches]
    distributing = _distributor(place, state_machine.parts["distribution"])
    if distributing is not None:
        works.append(distributing)
    return Assembly(state_machine, membership, acts, auditing, works, batches.felt, distributing)


def _distributor(place: Place, part: DistributionPart) -> DistributorRole | None:
    """Returns this member's distributor role; None if its file does not name it as one."""
    text = place.text
    if text.me not in text.distributors:
        return None
    addresses = {each.name: each.address for each in text.distributors.values()}
    return DistributorRole(
        place.loop, place.log, text.name, text.me, place.token(), addresses, part, place.read, place.send_to
    )
