"""Calls to the relay: one at a time, in the order in which they were given, each until it stands."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from urllib.parse import urlencode

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from ..net.http import Answer, Client
from ..net.loop import Deadline, Loop
from .backlog import Backlog
from .calls import cut, encode, merge, pieces, read_answer


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
        proxies: Callable[[], int],
        head: int,
    ) -> None:
        """A proxy may get `most` messages (0: any number) within `over`; each has `head` lines of its own."""
        self.loop, self.log, self.methods, self.most, self.over = loop, log, methods, most, over
        self.backlog, self.proxies, self.head = backlog, proxies, head
        self.size = 0  # lines in the channel of the call that went last
        # A mark that a proxy answers shows that the call it ends was carried out.  One that an earlier call
        # had, as after a module that began anew, shows nothing: hence the marks of the last calls.
        self.marks: deque[int] = deque(maxlen=256)
        self.shown_by, self.shown = -1, False  # the mark that would show it of the first call; it has
        self.first: list[face.Order] | None = None  # the call that these are about
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
        self.due = None
        self.idle = not self.waiting
        if self.idle or self.held:
            return
        # The module counts its replies.  What goes again may have gone before, and what had to wait goes
        # in a burst: neither may give a proxy more messages than it is allowed.
        now = self.loop.clock.now()
        while self.written and self.written[0] <= now - self.over - self.MARGIN:
            self.written.popleft()
        if self.most and len(self.written) >= self.most:
            self.log.trouble("call_held_back", calls=len(self.waiting))
            self.due = self.loop.at(self.written[0] + self.over + self.MARGIN, self._call)
            return
        self._cut_to_the_channel()
        size = (len(self.waiting[0]) + self.head) * self.proxies()
        if (when := self.backlog.fits_at(now, size)) > now:
            # The module counts a call once, from when it ordered it: what went may lie in the channel twice,
            # and what had to wait for the relay has not begun to leave.
            self.log.trouble("call_waits_for_the_channel", lines=size, for_ms=(when - now) / 10)
            self.due = self.loop.at(when, self._call)
            return
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
        self._to_be_shown()
        self.written.append(now)
        self.backlog.sent(now, size)
        self.size = size
        body = urlencode({"Action": "CommitChanges", "orders": orders})
        self.log.count("relay_calls")
        self.out = True
        self.client.request(
            "POST", "/", self.SPAN, self._answered, body.encode("ascii"), "application/x-www-form-urlencoded"
        )

    def _cut_to_the_channel(self) -> None:
        """One with more lines than may wait, as by merging or by proxies that joined, goes in parts."""
        orders, most = self.waiting[0], self.backlog.most_orders(self.proxies(), self.head)
        if most is not None and (at := cut(orders, most)) < len(orders):
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
            self._taken(said)
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
            self.log.trouble(
                "relay_call_unclear",
                why=said,
                orders=len(orders),
                tries=self.failures + 1,
                after_ms=answer.duration / 10,
            )
            if self.shown:
                self._stands_as_shown()
                return
            step = self.AGAIN[min(self.failures, len(self.AGAIN) - 1)]
            self.failures += 1
            self.due = self.loop.after(step, self._call)

    def _not_carried_out(self) -> None:
        self.written.pop()
        self.backlog.taken_back(self.size)

    def _to_be_shown(self) -> None:
        if self.first is self.waiting[0]:
            return
        self.first, self.shown_by, self.shown = self.waiting[0], -1, False
        last = self.first[-1]
        if isinstance(last, face.Mark) and last.mark not in self.marks:
            self.shown_by = last.mark
            self.marks.append(last.mark)

    def answered_mark(self, mark: int) -> None:
        """A proxy has applied all up to this mark: the call that ends with it was carried out, to its end."""
        if mark != self.shown_by or not self.waiting or self.first is not self.waiting[0]:
            return
        self.shown = True
        if self.failures and not self.out:
            if self.due is not None:
                self.due.cancel()
            self._stands_as_shown()

    def _stands_as_shown(self) -> None:
        self.log.count("calls_shown_by_marks")
        self.failures = 0
        self._taken(len(self.waiting[0]))
        self._call()

    def _taken(self, count: int) -> None:
        orders = self.waiting.popleft()
        self.log.count("orders_stand", count)
        self.stands(orders[:count])
        if count < len(orders):
            refused = orders[count]
            self.log.trouble("order_refused", order=encode(refused, self.methods))
            if orders[count + 1 :]:
                self.waiting.appendleft(orders[count + 1 :])
            self.dropped([refused])

    def close(self) -> None:
        self.client.close()
