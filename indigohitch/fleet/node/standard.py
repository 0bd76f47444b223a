"""What every member of a fleet has: the parts of the state machine, and its works."""

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
    """What a work may know of the process it is in."""

    loop: EventLoop
    log: Log
    text: FleetText
    voters: Callable[[], Collection[str]]
    lease: Callable[[int], Lease | None]
    token: Callable[[], int]  # 62 bits of chance
    read: ConfirmedRead | None = None  # confirmed by a majority
    say: Callable[[str, Row], bool] | None = None  # to another member


@dataclass(slots=True)
class Assembly:
    state_machine: ReplicatedStateMachine
    membership: Membership
    acts: ActionChain
    auditing: AuditWork
    works: list[Work] = field(default_factory=list)  # the membership first
    felt: Callable[[int, str, int], None] = lambda now, rpc, latency: None  # an RPC was answered here
    distributing: DistributorRole | None = None

    def heard_report(self, who: MemberId, report: Report) -> None:
        if self.distributing is not None:
            self.distributing.heard_report(who, report)

    def stop_distributing(self) -> None:
        """Subscribers go elsewhere; this member may go on with the rest, or end."""
        if self.distributing is not None:
            self.distributing.close()

    def close(self) -> None:
        self.acts.close()
        self.stop_distributing()


def parts() -> list[StateMachinePart]:
    """In a fixed order; each only knows those before it."""
    return [Notes(), Roster(), FleetClock(), Heads(), Seats(), Batches(), DistributionPart()]


def assembled(place: Place) -> Assembly:
    state_machine, text = ReplicatedStateMachine(parts()), place.text
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

    def trouble(bad: DirectorError) -> None:
        place.log.warning("audit", **error_fields(bad))

    acts = ActionChain(
        text.me,
        place.lease,
        state_machine,
        Store(f"{text.folder}/audit", begun=lambda: WorkerThread(place.loop)),
        trouble,
        when=hours.time,
    )
    auditing = AuditWork(acts, state_machine.parts["audit"], membership, trouble)
    seats = seats_work(text, state_machine.parts["seats"], acts, hours.time)
    batches = batches_work(place.loop, place.log, text, state_machine.parts["batches"], acts, hours.time)
    works = [membership, hours, auditing, seats, batches]
    distributing = distributing_of(place, state_machine.parts["distribution"])
    if distributing is not None:
        works.append(distributing)
    return Assembly(state_machine, membership, acts, auditing, works, batches.felt, distributing)


def distributing_of(place: Place, part: DistributionPart) -> DistributorRole | None:
    """None where the file names another member, or none, as a distributor."""
    text = place.text
    if text.me not in text.distributors:
        return None
    addresses = {one.name: one.address for one in text.distributors.values()}
    return DistributorRole(
        place.loop, place.log, text.name, text.me, place.token(), addresses, part, place.read, place.say
    )
