"""Calls to the relay: one at a time, in the order in which they were given, each until it stands."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from ..net.exchange import Answer
from ..net.http import Client
from ..net.loop import Deadline, Loop
from . import tables
from .backlog import Backlog, Sent
from .call_log import CallLog, Occupancy
from .calls import FORM, encode, form, merge, pieces, read_answer
from .doubt import Effect, Evidence, Inquiry, MarkProof


class Relay:
    # Calls that may wait, some ten seconds of the module's replies; past that they are merged, so that all
    # is bounded.
    WAITING = 8
    SPAN = SECOND // 5  # for an answer that comes within 50 ms or not at all
    CONNECT = SECOND // 4  # on one network a connect takes a few ms
    IDLE = SECOND  # the relay closes what stands idle, some day sooner than it says
    # After an outcome that leaves open what stands, first at once, then by these steps, the last for good.
    AGAIN = (0, SECOND // 20, SECOND // 10, SECOND // 5, SECOND // 2)
    THROTTLED = SECOND // 20  # soon: before the run begins every call is turned away
    MARGIN = SECOND // 2  # by which one call may take longer to the relay than the next

    def __init__(
        self,
        loop: Loop,
        log: Log,
        to: tuple[str, int],
        methods: Sequence[str],
        most: int,
        over: int,
        backlog: Backlog,
    ) -> None:
        """A proxy may get `most` messages (0: any number) within `over`; `backlog` bounds their lines."""
        self.loop, self.log, self.methods, self.most, self.over = loop, log, methods, most, over
        self.backlog = backlog
        self.copies: list[Sent] = []  # the first call, each time that it went
        self.wanting = 0  # lines of a call that waits for room in the channel
        self.stood: Callable[[], tables.Tables] = dict  # what stands in the store, but for calls in doubt
        self.went = 0  # when a call did last
        self.inquiry = Inquiry(loop, self._found)  # into whether the first call was carried out
        self.proof, self.told = MarkProof(), CallLog(log)  # of the first call
        self.failing: Callable[[str], None] = lambda outcome: None  # a call broke, and how
        self.written: deque[int] = deque()  # when calls went out that the proxies may have heard of
        self.stands: Callable[[list[face.Order]], None] = lambda orders: None  # what becomes of orders
        self.dropped: Callable[[list[face.Order]], None] = lambda orders: None
        # Set from outside where others must know who ordered what: asked with the orders of each call right
        # before it goes; False: it may not.
        self.allowed: Callable[[str], bool] | None = None
        self.doubted: Callable[[], None] = lambda: None  # a dropped call may stand: read what does
        self.client = Client(loop, to, self.CONNECT, self.IDLE)
        self.waiting: deque[list[face.Order]] = deque()  # the first is the one that is out
        self.failures, self.idle = 0, True  # failures: of the first, which may stand if there are any
        self.held = self.out = False  # no call begins; one has gone and nothing is known of it yet
        self.due: Deadline | None = None  # when the next one is to begin, where that waits

    def move(self, to: tuple[str, int]) -> bool:
        """Calls go to another address from the next one on; one that is out ends where it began."""
        if to == self.client.to:
            return False
        self.client.retire()
        self.client = Client(self.loop, to, self.CONNECT, self.IDLE)
        self.failures = min(self.failures, 1)  # soon tried there, but what is in doubt stays so
        return True

    def pending(self) -> list[face.Order]:
        """All that is ordered and not known to stand, in order."""
        return [order for call in self.waiting for order in call]

    def order(self, orders: list[face.Order]) -> None:
        self.waiting += pieces(orders, self.methods)
        if len(self.waiting) > 1 + self.WAITING:
            # The relay is out of reach: what waits is bounded by what there is to set, nothing is lost.
            out, later = self.waiting.popleft(), self.pending()
            self.waiting = deque([out, *pieces(merge(later), self.methods)])
            self.log.trouble("calls_merged", orders=len(later))
        if self.idle:  # merged or not: one reply may be more calls than may wait
            self._call()

    def hold(self, on: bool) -> None:
        """While it is on no call begins; one that is out comes to its end."""
        self.held = on
        if not on and not self.out and self.due is None and self.waiting:
            self._call()

    def _call(self) -> None:
        if self.due is not None:
            self.due.cancel()
        self.due, self.wanting = None, 0
        self.idle = not self.waiting
        if self.idle or self.held:
            return
        # The module counts its replies.  What goes again may have gone before, and what had to wait goes
        # in a burst: neither may give a proxy more messages than it is allowed.
        now = self.loop.clock.now()
        while self.written and self.written[0] <= now - self.over - self.MARGIN:
            self.written.popleft()
        if self.most and len(self.written) >= self.most:
            free = self.written[0] + self.over + self.MARGIN
            self.told.held("call_held_back", self._occupancy(), free - now)
            self.due = self.loop.at(free, self._call)
            return
        self._cut_to_the_channel()
        size = self.wanting = self.backlog.size(self.waiting[0])
        if (when := self.backlog.fits_at(now, size)) > now:
            # The module counts a call once, from when it ordered it: what went may lie in the channel twice,
            # and what had to wait for the relay has not begun to leave.
            self.told.held("call_waits_for_the_channel", self._occupancy(), when - now, lines=size)
            self.due = self.loop.at(when, self._call)
            if self.failures:  # what stands in the store tells sooner whether it goes again at all
                self.inquiry.open(self.client.to, self.went, Evidence(self.stood(), self.waiting[0]))
            return
        self.wanting = 0
        self.inquiry.drop()
        orders = ";".join(encode(order, self.methods) for order in self.waiting[0])
        if self.allowed is not None and not self.allowed(orders):
            # What was decided before is void by the time that it may: the module is told what stands then.
            void, doubt = self.pending(), self.failures > 0
            self.log.count("orders_not_allowed", len(void))
            self.waiting.clear()
            self.idle, self.failures = True, 0
            self.dropped(void)
            if doubt:
                self.doubted()
            return
        if self.proof.begin(self.waiting[0]):
            self.copies = []
            self.told.begin()
        self.went = now
        self.written.append(now)
        self.told.sent(self.waiting[0], size, self._occupancy())
        self.copies.append(self.backlog.sent(now, self.waiting[0]))
        self.log.count("relay_calls")
        self.out = True
        self.client.request("POST", "/", self.SPAN, self._answered, form(orders), FORM)

    def _occupancy(self) -> Occupancy:
        return Occupancy(len(self.written), round(self.backlog.lines), len(self.waiting))

    def _cut_to_the_channel(self) -> None:
        """One with more lines than may wait, as by merging or by proxies that joined, goes in parts."""
        orders = self.waiting[0]
        if (at := self.backlog.cut(orders)) < len(orders):
            self.log.count("calls_cut_to_the_channel")
            self.waiting.popleft()
            self.waiting.extendleft([orders[at:], orders[:at]])

    def _answered(self, answer: Answer) -> None:
        orders, self.out = self.waiting[0], False
        try:
            if answer.outcome in ("connect_failed", "unreached"):
                self._not_carried_out()
            said = read_answer(answer)
            if isinstance(said, int) and said > len(orders):
                raise ValueError(f"{said} taken of {len(orders)}")
        except ValueError as bad:
            said = str(bad)
        if isinstance(said, int):
            self.failures = 0
            self._taken(said, "answer")
            self._call()
        elif said == "ValidationError":
            # The same again would be turned away again: never in a loop.
            self.log.trouble("relay_call_invalid", orders=len(orders), first=encode(orders[0], self.methods))
            self._not_carried_out()
            self.waiting.popleft()
            self.failures = 0
            self.dropped(orders)
            self._call()
        elif said == "Throttling":
            self.log.count("relay_throttled")
            self._not_carried_out()
            self.due = self.loop.after(self.THROTTLED, self._call)
        else:
            # Carried out or not at all: the same once more, before anything later.
            self.told.unclear(said, orders, answer)
            self.failing(answer.outcome)
            if self.proof.shown:
                self._stands_as_shown()
                return
            step = self.AGAIN[min(self.failures, len(self.AGAIN) - 1)]
            self.failures += 1
            self.due = self.loop.after(step, self._call)

    def _not_carried_out(self) -> None:
        self.written.pop()
        self.backlog.taken_back(self.copies.pop())

    def _found(self, effect: Effect, proved: int) -> None:
        """What stands in the store tells what became of the first call."""
        self.log.event("call_in_doubt_looked_up", effect=effect.name.lower(), orders=proved)
        self.failures = 0
        if effect is Effect.STANDS:
            self._taken(proved, "tables")
        else:
            while self.copies and self.written:
                self._not_carried_out()
        self._call()

    def proxy_left(self, proxy: int) -> None:
        self.backlog.left(proxy)
        self._room_made()

    def _room_made(self) -> None:
        """A call that waits for the channel may go sooner than was thought."""
        now = self.loop.clock.now()
        if self.wanting and self.due is not None and self.backlog.fits_at(now, self.wanting) <= now:
            self._call()

    def answered_mark(self, proxy: int, mark: int) -> None:
        """A proxy has applied all up to this mark: the call that ends with it was carried out, to its end."""
        self.backlog.answered(proxy, mark)
        shown = self.waiting and self.proof.orders is self.waiting[0] and self.proof.answered(mark)
        if shown and self.failures and not self.out:
            self._stands_as_shown()
        else:
            self._room_made()

    def _stands_as_shown(self) -> None:
        self.log.count("calls_shown_by_marks")
        self.inquiry.drop()
        self.failures = 0
        self._taken(len(self.waiting[0]), "mark")
        self._call()

    def _taken(self, count: int, by: str) -> None:
        """So many orders stand; by the answer the next one is refused, else the rest is still to go."""
        orders = self.waiting.popleft()
        self.log.count("orders_stand", count)
        self.told.stands(count, by)
        self.stands(orders[:count])
        rest = orders[count:]
        if rest and by == "answer":
            self.log.trouble("order_refused", order=encode(rest[0], self.methods))
            self.dropped([rest.pop(0)])
        if rest:
            self.waiting.appendleft(rest)

    def close(self) -> None:
        self.inquiry.drop()
        self.client.close()
