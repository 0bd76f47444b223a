"""The open loop: requests go when they are due, whatever becomes of those before them.

Each connection of the source has wires of its own here.  What has no wire free opens another; past the
ceiling it waits, and its lateness shows.  Latency counts from the time a request was due."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator

from ...net.clock import SECOND, Clock
from ...net.loop import Deadline, EventLoop
from ...net.request_connection import RequestConnection
from ..entry import Request
from .figures import Figures
from .journal import Journal
from .schedule import Pace

Job = tuple[int, int, Request]  # due, number in the trace
AHEAD = 64  # requests begun in one turn of the loop at most: answers must be read too


def form(request: Request, host: str, id: str) -> bytes:
    head = f"{request.method} {request.target} HTTP/1.1\r\nHost: {host}\r\n"
    if id:
        head += f"X-Id: {id}\r\n"
    if request.kind and request.body:
        head += f"Content-Type: {request.kind}\r\n"
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        head += f"Content-Length: {len(request.body)}\r\n"
    return head.encode("latin-1", "replace") + b"\r\n" + request.body


class Driver:
    SPAN = 10 * SECOND  # for an answer: twice the longest deadline of the users' RPCs

    def __init__(
        self,
        to: tuple[str, int],
        due: Iterator[Job],
        figures: Figures,
        pace: Pace,
        connections: int,
        journal: Journal | None,
        name: str,
    ) -> None:
        """`name`: of the trace, for the ids of non-idempotent requests."""

        def failed(broken: BaseException) -> None:
            raise broken

        self.loop = EventLoop(Clock(), failed)
        self.loop.pool.available = 1 << 30  # a tool: no limit but the machine's
        self.to, self.due, self.figures, self.pace, self.most = to, due, figures, pace, connections
        self.journal, self.name, self.host = journal, name, f"{to[0]}:{to[1]}"
        self.begin = self.loop.clock.now()  # of the schedule, Unix time; may be set until `run`
        self.next: Job | None = None
        self.waiting: deque[Job] = deque()  # due, and no wire for them
        self.idle: OrderedDict[RequestConnection, int] = (
            OrderedDict()
        )  # each with its connection, oldest first
        self.rests: dict[int, list[RequestConnection]] = {}  # the same by connection
        self.of: dict[RequestConnection, int] = {}  # all wires
        self.out: dict[int, tuple[RequestConnection, Deadline]] = {}  # by the request's number
        self.stopped = False
        self.tell: Callable[[], None] = lambda: None

    def id(self, number: int) -> str:
        return f"{self.name}-{number}"

    # ---- sending

    def tick(self) -> None:
        """All that is due; non-idempotent ones are remembered first, together."""
        now, batch = self.loop.clock.now() - self.begin, []
        while self.next is not None and not self.stopped and len(batch) < AHEAD:
            at = self.pace.sent_at(self.next[0])
            if at > now:
                self.pace.free = at  # this one's place is taken, by itself
                self.loop.call_at(self.begin + at, self.tick)
                break
            batch.append(self.next)
            self.next = next(self.due, None)
        else:
            if self.next is not None and not self.stopped:
                self.loop.call_after(0, self.tick)
        if self.journal is not None:
            self.journal.send([number for _, number, request in batch if request.unsafe])
        for job in batch:
            self.start(job)

    def start(self, job: Job, again: bool = False) -> bool:
        """False where there is no wire: it waits."""
        due, number, request = job
        wire = self.wire(-1 if again else request.connection)
        if wire is None:
            self.waiting.append(job)
            return False
        if not again:
            self.figures.went(request.rpc, due, self.loop.clock.now() - self.begin)
        self.out[number] = wire, self.loop.call_after(self.SPAN, lambda: wire.stream.close("timeout"))
        wire.send(
            job, form(request, self.host, self.id(number) if request.unsafe else ""), request.method == "HEAD"
        )
        return True

    def wire(self, connection: int) -> RequestConnection | None:
        rests = self.rests.get(connection)
        if rests:
            wire = rests.pop()
            del self.idle[wire]
            return wire
        if len(self.of) >= self.most:
            if not self.idle:
                return None
            oldest, owner = next(iter(self.idle.items()))
            self.forget(oldest, owner)
            oldest.stream.close()
        try:
            wire = RequestConnection(self)
        except OSError:  # no descriptor left: as if the ceiling were reached
            return None
        self.of[wire] = connection
        return wire

    def forget(self, wire: RequestConnection, connection: int) -> None:
        if self.idle.pop(wire, None) is not None:
            self.rests[connection].remove(wire)
        self.of.pop(wire, None)

    # ---- hearing

    def on_connection_closed(self, wire: RequestConnection) -> None:
        self.forget(wire, self.of.get(wire, 0))

    def on_request_ended(self, wire: RequestConnection, job: Job, status: int, why: str) -> None:
        due, number, request = job
        self.out.pop(number)[1].cancel()
        if why in ("ended", "reset") and wire.answers and not request.unsafe:
            self.figures.status["sent-again"] += 1  # its kept connection was being closed
            self.start(job, again=True)
            return
        took = self.loop.clock.now() - self.begin
        self.figures.answered(request.rpc, due, took, str(status) if status else why)
        if request.unsafe and 0 < status < 500 and self.journal is not None:
            self.journal.done(number)
        if wire.is_reusable and wire in self.of:
            self.idle[wire] = self.of[wire]
            self.rests.setdefault(self.of[wire], []).append(wire)
        while self.waiting and self.start(self.waiting.popleft()):
            pass

    # ---- the whole

    def run(self) -> None:
        """Until all have been sent and answered, or `stop`."""
        self.next = next(self.due, None)
        self.loop.call_at(max(self.begin, self.loop.clock.now()), self.tick)
        self.every_second()
        while (self.next is not None and not self.stopped) or self.out or self.waiting:
            if self.stopped:
                self.waiting.clear()
            self.loop.turn()
        for wire in list(self.of):
            wire.stream.close()

    def every_second(self) -> None:
        self.tell()
        self.loop.call_after(SECOND, self.every_second)

    def stop(self) -> None:
        """No more is sent; what is out is waited for."""
        self.stopped = True
