"""The queue of calls to the relay: when the next one begins, and with which orders.

Which orders go next and when a call in doubt goes again is decided in logic/dispatch.py, how soon a proxy may
get another message in logic/pacing.py; relay.py says what becomes of a call that went."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from .. import interface as face
from ..log import Log
from ..logic.rate_limit import MessageRateLimit
from ..net.clock import SECOND
from ..net.http_client import HttpClient
from ..net.http_exchange import HttpResponse
from ..net.loop import Deadline, EventLoop
from .call_codec import FORM, encode, form
from .call_log import CallLog
from .call_resolution import CallOutcome
from .channel_backlog import ChannelBacklog
from .channel_limits import ChannelLimits
from .in_flight_call import InFlightCall
from .invariants import Attempt, InvariantChecker
from .outbox import Outbox


class CallQueue:
    SPAN = SECOND // 5  # for an answer that comes within 50 ms or not at all
    CONNECT = SECOND // 4  # on one network a connect takes a few ms
    IDLE = SECOND  # the relay closes what stands idle, some day sooner than it says
    MARGIN = SECOND // 2  # by which one call may take longer to the relay than the next

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        to: tuple[str, int],
        methods: Sequence[str],
        most: int,
        over: int,
        backlog: ChannelBacklog,
    ) -> None:
        """A proxy may get `most` messages (0: any number) within `over`; `backlog` bounds their lines."""
        self.loop, self.log, self.methods = loop, log, methods
        self.outbox, self.backlog = Outbox(log, methods, backlog), backlog
        self.told = CallLog(log)
        self.bounds = ChannelLimits(
            self.outbox, MessageRateLimit(most, over + self.MARGIN), backlog, self.told
        )
        self.first = InFlightCall(loop, self._found)
        self.guard = InvariantChecker(log, most, over, backlog)
        self.failing: Callable[[str], None] = lambda outcome: None  # a call broke, and how
        self.stands: Callable[[list[face.Order]], None] = lambda orders: None  # what becomes of orders
        self.dropped: Callable[[list[face.Order]], None] = lambda orders: None
        # Set from outside where others must know who ordered what: asked with the orders of each call right
        # before it goes; False: it may not.
        self.allowed: Callable[[str], bool] | None = None
        self.doubted: Callable[[], None] = lambda: None  # a dropped call may stand: read what does
        self.client = HttpClient(loop, to, self.CONNECT, self.IDLE)
        self.idle = True
        self.held = self.out = False  # no call begins; one has gone and nothing is known of it yet
        self.bounded = False  # the next one waits for the bounds of the channel
        self.due: Deadline | None = None  # when the next one is to begin, where that waits

    @property
    def waiting(self) -> deque[list[face.Order]]:
        """Calls that do not stand yet, in turn; the first may be out."""
        return self.outbox.calls

    @property
    def written(self) -> deque[int]:
        """When calls went out that the proxies may have heard of."""
        return self.bounds.pace.sent

    def restore(
        self,
        waiting: Sequence[list[face.Order]],
        written: Sequence[int],
        failures: int,
        maybe: Sequence[face.Order],
    ) -> None:
        """As another process held them."""
        self.outbox.calls, self.bounds.pace.sent = deque(waiting), deque(written)
        self.first.failures, self.first.maybe = failures, dict.fromkeys(maybe)
        self.idle = not waiting

    def pending(self) -> list[face.Order]:
        """All that is ordered and not known to stand, in order."""
        return self.outbox.pending()

    def move(self, to: tuple[str, int]) -> bool:
        """Calls go to another address from the next one on; one that is out ends where it began."""
        if to == self.client.address:
            return False
        self.client.retire()
        self.client = HttpClient(self.loop, to, self.CONNECT, self.IDLE)
        self.first.inquiry.drop()
        if self.first.in_doubt and not self.out:
            self._call()  # what is in doubt stays so, and is looked up there
        return True

    def order(self, orders: list[face.Order], joins: bool = False) -> None:
        """`joins`: these are no reply of the module, and may go with others of their kind."""
        self.outbox.add(orders, joins)
        if self.idle or self.bounded:  # merged or not: one reply may be more calls than may wait
            self._call()

    def reconsider(self) -> None:
        """What waits for the bounds may have become urgent by what the module has heard."""
        if self.bounded:
            self._call()

    def hold(self, on: bool) -> None:
        """While it is on no call begins; one that is out comes to its end."""
        self.held = on
        if not on and not self.out and self.due is None and self.waiting:
            self._call()

    # ---- a call begins -----------------------------------------------------------------------------

    def _call(self) -> None:
        self._wait_until(None)
        self.bounded = False
        self.idle = not self.waiting
        if self.idle or self.held:
            return
        if self.first.in_doubt and not self.first.may_repeat:
            self.first.inquire(self.client.address, self.waiting[0])
            self._wait_until(self.first.repeat_at(in_reach=False), self._repeat)
            return
        if len(self.waiting) > 1 and (
            self.bounds.pace.max_messages or self.guard.late_lines(self.waiting[0])
        ):
            self._gather()
        if not self._without_late_lines() or self._must_wait():
            return
        orders = ";".join(encode(order, self.methods) for order in self.waiting[0])
        if self.allowed is None or self.allowed(orders):
            self._send(orders)
        else:
            self._not_allowed()

    def _without_late_lines(self) -> bool:
        """Takes what would break the rule on drains out of a call that has not gone; whether any is left."""
        late = [] if self.first.in_doubt else self.guard.late_lines(self.waiting[0])
        if late:
            self.guard.refused(late)
            self.outbox.leave_out(late)
            self.dropped(late)
            if not self.waiting[0]:
                self.waiting.popleft()
                self._call()
                return False
        return True

    def _wait_until(self, when: int | None, then: Callable[[], None] | None = None) -> None:
        """The one due time; None: nothing is waited for."""
        if self.due is not None:
            self.due.cancel()
        self.due = None if when is None else self.loop.call_at(when, then or self._call)

    def _gather(self) -> None:
        """All that waits goes as one, also what is in doubt: each call is a message to every proxy."""
        if self.first.in_doubt:
            self.first.joined_by_later(self.waiting[0])
        self.outbox.gather()

    def _must_wait(self) -> bool:
        """Whether the bounds of the channel keep the first call back."""
        now = self.loop.clock.now()
        when = self.bounds.free_at(now, self.first.in_doubt)
        self.bounded = when > now
        if self.bounded:
            self._wait_until(when)
            if self.first.in_doubt:  # what stands in the store tells sooner whether it goes again at all
                self.first.inquire(self.client.address, self.waiting[0], until_known=True)
        return self.bounded

    def _send(self, orders: str) -> None:
        now = self.loop.clock.now()
        tried_at = self.first.went if self.first.in_doubt else None
        lines = self.backlog.size(self.waiting[0])
        if not self.guard.sending(now, Attempt(self.waiting[0], lines, tried_at, self.out)):
            self._wait_until(now + self.guard.AGAIN)
            return
        self.guard.sent(now)
        if self.first.sending(self.waiting[0]):
            self.bounds.copies = []
            self.told.begin()
        self.bounds.went(self.first.went)
        self.log.count("relay_calls")
        self.out = True
        self.client.request("POST", "/", self.SPAN, self._answered, form(orders), FORM)

    def _not_allowed(self) -> None:
        """What was decided before is void by the time that it may: the module is told what stands then."""
        void = self.pending()
        self.log.count("orders_blocked", len(void))
        self.waiting.clear()
        self.idle = True
        self._drop(void)

    # ---- what relay.py says ------------------------------------------------------------------------

    def _answered(self, answer: HttpResponse) -> None:
        raise NotImplementedError

    def _found(self, effect: CallOutcome, proved: int) -> None:
        raise NotImplementedError

    def _repeat(self) -> None:
        raise NotImplementedError

    def _drop(self, orders: list[face.Order]) -> None:
        raise NotImplementedError
