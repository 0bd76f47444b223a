"""Calls the works of this process and makes the proposals that they want."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping

import msgspec

from ...errors import UnavailableError
from ...log import Log
from ...net.loop import EventLoop
from ..interfaces import LeaseBoundWork, ProposalRequest, Work
from ..types import Lease, LogEntry, Outcome
from .messages import BODY
from .proposals import Proposals

# Proposals of works that wait for room.  What finds none is answered as not known, and wanted again.
MOST = 256


class WorkLoop:
    """A work that fails is a defect of that work: it is told, and the others go on."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        works: Iterable[Work],
        proposals: Proposals,
        may: Callable[[Work], bool],
        send: Callable[[], None],
    ) -> None:
        """`may(work)`: it may propose now; `send`: proposals are there to go out."""
        self.loop, self.log, self.works = loop, log, list(works)
        self.proposals, self.may, self.send = proposals, may, send
        self.waiting: deque[tuple[Work, ProposalRequest]] = deque()
        self.unmade: deque[tuple[Work, str]] = deque(maxlen=MOST)  # told with the next beat, not at once

    def call(self, work: Work, action: Callable, *args):
        try:
            return action(*args)
        except Exception as broken:
            self.log.count(f"defects_of_{work.name}")
            self.loop.failed(broken)
            return None

    def each(self, ask: Callable[[Work], list[ProposalRequest]]) -> None:
        for work in self.works:
            self.want(work, self.call(work, ask, work))

    def want(self, work: Work, wanted: list[ProposalRequest] | None) -> None:
        for one in wanted or ():
            if len(self.waiting) >= MOST:
                self.log.count("proposals_without_room")
                self.unmade.append((work, one.tag))
            else:
                self.waiting.append((work, one))
        self.put()

    def put(self) -> None:
        while self.waiting:
            work, one = self.waiting[0]
            body = msgspec.msgpack.encode(one.body)
            if len(body) > BODY or not self.may(work):
                if len(body) > BODY:
                    self.log.warning("proposal_too_large", kind=one.kind, bytes=len(body))
                self.unmade.append((work, one.tag))
                self.waiting.popleft()
                continue
            try:
                self.proposals.put(
                    self.loop.clock.now(),
                    one.kind,
                    body,
                    lambda outcome, work=work, tag=one.tag: self.answered(work, tag, outcome),
                )
            except UnavailableError:
                break  # the next turn looks again
            self.waiting.popleft()
        self.send()

    # ---- what works hear ---------------------------------------------------------------------------

    def answered(self, work: Work, tag: str, outcome: Outcome | None) -> None:
        self.want(work, self.call(work, work.answered, self.loop.clock.now(), tag, outcome))

    def applied(self, entry: LogEntry, outcome: Outcome) -> None:
        now = self.loop.clock.now()
        self.each(lambda work: work.applied(now, entry, outcome))

    def restored(self) -> None:
        now = self.loop.clock.now()
        self.each(lambda work: work.restored(now))

    def turn(self, now: int, lease: Lease | None) -> None:
        unmade, self.unmade = list(self.unmade), deque(maxlen=MOST)
        for work, tag in unmade:
            self.answered(work, tag, None)
        self.put()
        self.each(lambda work: work.turn(now, lease))

    def lead(self, now: int, reports: Callable[[int, str], Mapping[str, bytes]]) -> None:
        for work in self.works:
            self.want(work, self.call(work, work.lead, now, reports(now, work.name)))

    def reports(self, now: int) -> dict[str, bytes]:
        found = {work.name: self.call(work, work.report, now) for work in self.works}
        return {name: report for name, report in found.items() if report}

    def has_leased_resources(self, now: int) -> bool:
        """Something is out that ends with the lease, as a job with a seat: it must not be given on before."""
        return any(work.has_leased_resources(now) for work in self.works if isinstance(work, LeaseBoundWork))

    def figures(self) -> dict:
        return {work.name: self.call(work, work.figures) or {} for work in self.works}
