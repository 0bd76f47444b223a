"""Calls the works of this process, and submits the proposals that they request."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import ParamSpec, TypeVar

import msgspec

from ...errors import UnavailableError
from ...log import Log
from ...net.loop import EventLoop
from ..interfaces import LeaseBoundWork, ProposalRequest, Work
from ..types import Lease, LogEntry, Outcome
from .messages import MAX_BODY_BYTES
from .proposals import Proposals

# The most proposals of works that wait for capacity.  One that exceeds it is dropped with an unknown outcome,
# and its work requests it again.
MAX_WAITING = 256

Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")


class WorkLoop:
    """Isolates the works: an exception of one is a defect, which is logged, and the others go on."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        works: Iterable[Work],
        proposals: Proposals,
        may_propose: Callable[[Work], bool],
        send_due: Callable[[], None],
    ) -> None:
        """Creates the loop.

        `may_propose(work)` is called before each submit; `send_due` sends the submitted proposals.
        """
        self.loop = loop
        self.log = log
        self.works = list(works)
        self.proposals = proposals
        self.may_propose = may_propose
        self.send_due = send_due
        self.waiting: deque[tuple[Work, ProposalRequest]] = deque()
        # The works are told at the next tick, not within the call that requested the proposal.
        self.dropped: deque[tuple[Work, str]] = deque(maxlen=MAX_WAITING)

    def _call(self, work: Work, method: Callable[Arguments, Result], *args: Arguments.args) -> Result | None:
        try:
            return method(*args)
        except Exception as error:
            self.log.count(f"defects_of_{work.name}")
            self.loop.failed(error)
            return None

    def _call_each(self, method: Callable[[Work], list[ProposalRequest]]) -> None:
        for work in self.works:
            self.request(work, self._call(work, method, work))

    def request(self, work: Work, requests: list[ProposalRequest] | None) -> None:
        """Submits the proposals that a work requests, or queues them while there is no capacity."""
        for request in requests or ():
            if len(self.waiting) >= MAX_WAITING:
                self.log.count("proposals_without_room")
                self.dropped.append((work, request.tag))
            else:
                self.waiting.append((work, request))
        self._submit_waiting()

    def _submit_waiting(self) -> None:
        while self.waiting and self._submit(*self.waiting[0]):
            self.waiting.popleft()
        self.send_due()

    def _submit(self, work: Work, request: ProposalRequest) -> bool:
        """Submits a proposal or drops it; returns False if there is no capacity for it now."""
        body = msgspec.msgpack.encode(request.body)
        is_too_large = len(body) > MAX_BODY_BYTES
        if is_too_large or not self.may_propose(work):
            if is_too_large:
                self.log.warning("proposal_too_large", kind=request.kind, bytes=len(body))
            self.dropped.append((work, request.tag))
            return True
        try:
            self.proposals.submit(
                self.loop.clock.now(),
                request.kind,
                body,
                lambda outcome: self._on_outcome(work, request.tag, outcome),
            )
        except UnavailableError:
            return False  # the next tick retries
        return True

    # ---- events of the works -----------------------------------------------------------------------

    def _on_outcome(self, work: Work, tag: str, outcome: Outcome | None) -> None:
        self.request(work, self._call(work, work.answered, self.loop.clock.now(), tag, outcome))

    def on_applied(self, entry: LogEntry, outcome: Outcome) -> None:
        """Notifies all works of an applied entry."""
        now = self.loop.clock.now()
        self._call_each(lambda work: work.applied(now, entry, outcome))

    def on_restored(self) -> None:
        """Notifies all works that the state machine was restored from a snapshot."""
        now = self.loop.clock.now()
        self._call_each(lambda work: work.restored(now))

    def tick(self, now: int, lease: Lease | None) -> None:
        """Reports dropped proposals, submits waiting ones, and runs the periodic step of each work."""
        dropped = list(self.dropped)
        self.dropped.clear()
        for work, tag in dropped:
            self._on_outcome(work, tag, None)
        self._submit_waiting()
        self._call_each(lambda work: work.turn(now, lease))

    def lead(self, now: int, reports: Callable[[int, str], Mapping[str, bytes]]) -> None:
        """Runs the leader's step of each work with the members' reports; only the leader calls it."""
        for work in self.works:
            self.request(work, self._call(work, work.lead, now, reports(now, work.name)))

    def reports(self, now: int) -> dict[str, bytes]:
        """Returns the works' reports to the leader, by name; empty ones are left out."""
        reports = {work.name: self._call(work, work.report, now) for work in self.works}
        return {name: report for name, report in reports.items() if report}

    def has_leased_resources(self, now: int) -> bool:
        """Whether a work has granted something that ends with the lease, such as a seat.

        Such a grant must not go to another member before the lease has ended.
        """
        return any(work.has_leased_resources(now) for work in self.works if isinstance(work, LeaseBoundWork))

    def status(self) -> dict[str, dict]:
        """Returns the status of each work, by name."""
        return {work.name: self._call(work, work.figures) or {} for work in self.works}
