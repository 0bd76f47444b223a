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
from .call_codec import FORM_CONTENT_TYPE, encode_form, encode_order
from .call_log import CallLog
from .call_resolution import CallOutcome
from .channel_backlog import ChannelBacklog
from .channel_limits import ChannelLimits
from .in_flight_call import InFlightCall
from .invariants import Attempt, InvariantChecker
from .outbox import Outbox


class CallQueue:
    RESPONSE_TIMEOUT = SECOND // 5  # for an answer that comes within 50 ms or not at all
    CONNECT_TIMEOUT = SECOND // 4  # on one network a connect takes a few ms
    IDLE_TIMEOUT = SECOND  # the relay closes what stands idle, some day sooner than it says
    TRANSIT_MARGIN = SECOND // 2  # by which one call may take longer to the relay than the next

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
        self.call_log = CallLog(log)
        self.channel_limits = ChannelLimits(
            self.outbox, MessageRateLimit(most, over + self.TRANSIT_MARGIN), backlog, self.call_log
        )
        self.in_flight_call = InFlightCall(loop, self._on_outcome)
        self.invariants = InvariantChecker(log, most, over, backlog)
        self.on_call_failed: Callable[[str], None] = lambda outcome: None  # a call broke, and how
        self.on_applied: Callable[[list[face.Order]], None] = lambda orders: None  # what becomes of orders
        self.on_dropped: Callable[[list[face.Order]], None] = lambda orders: None
        # Set from outside where others must know who ordered what: asked with the orders of each call right
        # before it goes; False: it may not.
        self.is_allowed: Callable[[str], bool] | None = None
        self.on_unresolved_drop: Callable[[], None] = lambda: None  # a dropped call may stand: read what does
        self.client = HttpClient(loop, to, self.CONNECT_TIMEOUT, self.IDLE_TIMEOUT)
        self.idle = True
        self.is_paused = self.awaiting_response = (
            False  # no call begins; one has gone and nothing is known of it yet
        )
        self.waits_for_capacity = False  # the next one waits for the bounds of the channel
        self.next_call_timer: Deadline | None = None  # when the next one is to begin, where that waits

    @property
    def pending_calls(self) -> deque[list[face.Order]]:
        """Calls that do not stand yet, in turn; the first may be out."""
        return self.outbox.calls

    @property
    def sent_at(self) -> deque[int]:
        """When calls went out that the proxies may have heard of."""
        return self.channel_limits.message_rate.sent

    def restore(
        self,
        waiting: Sequence[list[face.Order]],
        written: Sequence[int],
        failures: int,
        maybe: Sequence[face.Order],
    ) -> None:
        """As another process held them."""
        self.outbox.calls, self.channel_limits.message_rate.sent = deque(waiting), deque(written)
        self.in_flight_call.failures, self.in_flight_call.unresolved_orders = failures, dict.fromkeys(maybe)
        self.idle = not waiting

    def pending(self) -> list[face.Order]:
        """All that is ordered and not known to stand, in order."""
        return self.outbox.pending()

    def move(self, to: tuple[str, int]) -> bool:
        """Calls go to another address from the next one on; one that is out ends where it began."""
        if to == self.client.address:
            return False
        self.client.retire()
        self.client = HttpClient(self.loop, to, self.CONNECT_TIMEOUT, self.IDLE_TIMEOUT)
        self.in_flight_call.outcome_query.drop()
        if self.in_flight_call.is_unresolved and not self.awaiting_response:
            self._start_next_call()  # what is in doubt stays so, and is looked up there
        return True

    def order(self, orders: list[face.Order], joins: bool = False) -> None:
        """`joins`: these are no reply of the module, and may go with others of their kind."""
        self.outbox.add(orders, joins)
        if self.idle or self.waits_for_capacity:  # merged or not: one reply may be more calls than may wait
            self._start_next_call()

    def reconsider(self) -> None:
        """What waits for the bounds may have become urgent by what the module has heard."""
        if self.waits_for_capacity:
            self._start_next_call()

    def set_paused(self, on: bool) -> None:
        """While it is on no call begins; one that is out comes to its end."""
        self.is_paused = on
        if not on and not self.awaiting_response and self.next_call_timer is None and self.pending_calls:
            self._start_next_call()

    # ---- a call begins -----------------------------------------------------------------------------

    def _start_next_call(self) -> None:
        self._wait_until(None)
        self.waits_for_capacity = False
        self.idle = not self.pending_calls
        if self.idle or self.is_paused:
            return
        if self.in_flight_call.is_unresolved and not self.in_flight_call.may_retry:
            self.in_flight_call.query_outcome(self.client.address, self.pending_calls[0])
            self._wait_until(self.in_flight_call.retry_at(in_reach=False), self._retry_unresolved)
            return
        if len(self.pending_calls) > 1 and (
            self.channel_limits.message_rate.max_messages
            or self.invariants.late_routes(self.pending_calls[0])
        ):
            self._batch_calls()
        if not self._remove_late_routes() or self._must_wait():
            return
        orders = ";".join(encode_order(order, self.methods) for order in self.pending_calls[0])
        if self.is_allowed is None or self.is_allowed(orders):
            self._send(orders)
        else:
            self._drop_blocked_orders()

    def _remove_late_routes(self) -> bool:
        """Takes what would break the rule on drains out of a call that has not gone; whether any is left."""
        late = [] if self.in_flight_call.is_unresolved else self.invariants.late_routes(self.pending_calls[0])
        if late:
            self.invariants.report_late_routes(late)
            self.outbox.leave_out(late)
            self.on_dropped(late)
            if not self.pending_calls[0]:
                self.pending_calls.popleft()
                self._start_next_call()
                return False
        return True

    def _wait_until(self, when: int | None, then: Callable[[], None] | None = None) -> None:
        """The one due time; None: nothing is waited for."""
        if self.next_call_timer is not None:
            self.next_call_timer.cancel()
        self.next_call_timer = (
            None if when is None else self.loop.call_at(when, then or self._start_next_call)
        )

    def _batch_calls(self) -> None:
        """All that waits goes as one, also what is in doubt: each call is a message to every proxy."""
        if self.in_flight_call.is_unresolved:
            self.in_flight_call.merge_into_later_call(self.pending_calls[0])
        self.outbox.gather()

    def _must_wait(self) -> bool:
        """Whether the bounds of the channel keep the first call back."""
        now = self.loop.clock.now()
        when = self.channel_limits.free_at(now, self.in_flight_call.is_unresolved)
        self.waits_for_capacity = when > now
        if self.waits_for_capacity:
            self._wait_until(when)
            if self.in_flight_call.is_unresolved:  # the store may show sooner that no retry is needed
                self.in_flight_call.query_outcome(
                    self.client.address, self.pending_calls[0], until_known=True
                )
        return self.waits_for_capacity

    def _send(self, orders: str) -> None:
        now = self.loop.clock.now()
        tried_at = self.in_flight_call.sent_at if self.in_flight_call.is_unresolved else None
        lines = self.backlog.size(self.pending_calls[0])
        if not self.invariants.check_send(
            now, Attempt(self.pending_calls[0], lines, tried_at, self.awaiting_response)
        ):
            self._wait_until(now + self.invariants.RETRY_DELAY)
            return
        self.invariants.record_send(now)
        if self.in_flight_call.record_send(self.pending_calls[0]):
            self.channel_limits.sent_copies = []
            self.call_log.start_call()
        self.channel_limits.record_send(self.in_flight_call.sent_at)
        self.log.count("relay_calls")
        self.awaiting_response = True
        self.client.request(
            "POST", "/", self.RESPONSE_TIMEOUT, self._on_response, encode_form(orders), FORM_CONTENT_TYPE
        )

    def _drop_blocked_orders(self) -> None:
        """What was decided before is void by the time that it may: the module is told what stands then."""
        void = self.pending()
        self.log.count("orders_blocked", len(void))
        self.pending_calls.clear()
        self.idle = True
        self._drop_orders(void)

    # ---- what relay.py says ------------------------------------------------------------------------

    def _on_response(self, answer: HttpResponse) -> None:
        raise NotImplementedError

    def _on_outcome(self, effect: CallOutcome, proved: int) -> None:
        raise NotImplementedError

    def _retry_unresolved(self) -> None:
        raise NotImplementedError

    def _drop_orders(self, orders: list[face.Order]) -> None:
        raise NotImplementedError
