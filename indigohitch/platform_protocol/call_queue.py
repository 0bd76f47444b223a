"""The queue of calls to the relay: when the next one is sent, and with which orders.

The order of calls and their retries are decided in logic/call_scheduling.py, the message rate in
logic/rate_limit.py; relay.py handles the outcome of a call.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence

from .. import interface as face
from ..log import Log
from ..logic.rate_limit import MessageRateLimit
from ..net.clock import SECOND
from ..net.http_client import HttpClient
from ..net.http_response import HttpResponse
from ..net.loop import Deadline, EventLoop
from .call_codec import FORM_CONTENT_TYPE, encode_form, encode_order
from .call_log import CallLog
from .call_resolution import CallOutcome
from .channel_backlog import ChannelBacklog
from .channel_limits import ChannelLimits
from .in_flight_call import InFlightCall
from .invariants import Attempt, InvariantChecker
from .outbox import Outbox
from .revoked_orders import RevokedOrders
from .stored_tables import changed_tables


class CallQueue:
    """Sends the queued calls one at a time, within the limits of the channel and the invariants."""

    RESPONSE_TIMEOUT = SECOND // 5  # the relay responds within 50 ms or not at all
    CONNECT_TIMEOUT = SECOND // 4  # a connect within the network takes a few ms
    IDLE_TIMEOUT = SECOND  # the relay may close idle connections before its stated time
    OWNERSHIP_CHECK_INTERVAL = SECOND // 100  # while it is unknown whether the slices are still owned
    TRANSIT_MARGIN = SECOND // 2  # how much longer a call may take to reach the relay than the next one

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        address: tuple[str, int],
        methods: Sequence[str],
        max_messages: int,
        window: int,
        backlog: ChannelBacklog,
    ) -> None:
        """Limit messages per proxy to `max_messages` (0: any) in `window` ticks, and lines by `backlog`."""
        self.loop = loop
        self.log = log
        self.methods = methods
        self.outbox = Outbox(log, methods, backlog)
        self.backlog = backlog
        self.call_log = CallLog(log)
        self.channel_limits = ChannelLimits(
            self.outbox, MessageRateLimit(max_messages, window + self.TRANSIT_MARGIN), backlog, self.call_log
        )
        self.in_flight_call = InFlightCall(loop, self._on_outcome)
        self.revocations = RevokedOrders(self.outbox, self.in_flight_call)
        self.invariants = InvariantChecker(log, max_messages, window, backlog)
        self.on_call_failed: Callable[[str], None] = lambda outcome: None  # receives the outcome of the call
        self.on_applied: Callable[[list[face.Order]], None] = lambda orders: None
        self.on_dropped: Callable[[list[face.Order]], None] = lambda orders: None
        self.is_ownership_current: Callable[[], bool] = lambda: True  # orders for slices may be sent now
        # Optional check of the encoded orders of each call right before it is sent; False blocks the call.
        self.is_allowed: Callable[[str], bool] | None = None
        self.on_unresolved_drop: Callable[[], None] = lambda: None  # a dropped call may have been applied
        self.client = HttpClient(loop, address, self.CONNECT_TIMEOUT, self.IDLE_TIMEOUT)
        self.idle = True
        self.is_paused = False  # no call is started
        self.awaiting_response = False  # a call was sent and has no response or failure yet
        self.waits_for_capacity = False  # the next call waits for the limits of the channel
        self.next_call_timer: Deadline | None = None  # starts the next call, if that has a due time

    @property
    def pending_calls(self) -> deque[list[face.Order]]:
        """Calls not known to be applied, in order; the first may be in flight."""
        return self.outbox.calls

    @property
    def sent_at(self) -> deque[int]:
        """Times of the sent calls that may have reached the proxies."""
        return self.channel_limits.message_rate.sent

    def restore(
        self,
        calls: Sequence[list[face.Order]],
        sent_at: Sequence[int],
        failures: int,
        unresolved_orders: Sequence[face.Order],
    ) -> None:
        """Restore the state that another process handed over."""
        self.outbox.calls = deque(calls)
        self.channel_limits.message_rate.sent = deque(sent_at)
        self.in_flight_call.failures = failures
        self.in_flight_call.unresolved_orders = dict.fromkeys(unresolved_orders)
        self.idle = not calls

    def pending(self) -> list[face.Order]:
        """Return all valid orders not known to be applied, in order."""
        return [order for call in self.valid_calls() for order in call]

    def valid_calls(self) -> list[list[face.Order]]:
        """Return the calls not known to be applied, without orders that were revoked."""
        self.revocations.discard(self.awaiting_response)
        return self.revocations.valid_calls()

    def move(self, address: tuple[str, int]) -> bool:
        """Send later calls to another address; a call in flight ends at the old one. False if unchanged."""
        if address == self.client.address:
            return False
        self.client.retire()
        self.client = HttpClient(self.loop, address, self.CONNECT_TIMEOUT, self.IDLE_TIMEOUT)
        self.in_flight_call.outcome_query.drop()
        if self.in_flight_call.is_unresolved and not self.awaiting_response:
            self._start_next_call()  # the outcome of an unresolved call is queried at the new address
        return True

    def enqueue(self, orders: list[face.Order], joins: bool = False) -> None:
        """Queue orders; `joins`: they are not a module reply and may share a call with other such orders."""
        self.revocations.discard(self.awaiting_response)
        self.outbox.add(orders, joins)
        # Also checked after a merge: a single module reply may be more calls than the queue holds.
        if self.idle or self.waits_for_capacity:
            self._start_next_call()

    def reconsider(self) -> None:
        """Evaluate the limits again: orders that wait for them may have become urgent."""
        if self.waits_for_capacity:
            self._start_next_call()

    def set_paused(self, on: bool) -> None:
        """Pause or resume the start of calls; a call in flight is completed."""
        self.is_paused = on
        if not on and not self.awaiting_response and self.next_call_timer is None and self.pending_calls:
            self._start_next_call()

    # ---- start of a call -----------------------------------------------------------------------------

    def _start_next_call(self) -> None:
        self._wait_until(None)
        self.waits_for_capacity = False
        self.revocations.discard(self.awaiting_response)
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
        if changed_tables(self.pending_calls[0]) - {face.ALL_TABLES} and not self.is_ownership_current():
            self._wait_until(self.loop.clock.now() + self.OWNERSHIP_CHECK_INTERVAL)
            return
        encoded_orders = ";".join(encode_order(order, self.methods) for order in self.pending_calls[0])
        if self.is_allowed is None or self.is_allowed(encoded_orders):
            self._send(encoded_orders)
        else:
            self._drop_blocked_orders()

    def _remove_late_routes(self) -> bool:
        """Remove routes that would violate the drain rule from an unsent call; return if orders remain."""
        late = [] if self.in_flight_call.is_unresolved else self.invariants.late_routes(self.pending_calls[0])
        if late:
            self.invariants.report_late_routes(late)
            self.outbox.remove_from_first_call(late)
            if not self.pending_calls[0]:
                self.pending_calls.popleft()
            self.on_dropped(late)
            self._start_next_call()
        return not late

    def _wait_until(self, when: int | None, action: Callable[[], None] | None = None) -> None:
        """Run `action`, by default the start of the next call, at `when` (ticks); None cancels it."""
        if self.next_call_timer is not None:
            self.next_call_timer.cancel()
        self.next_call_timer = (
            None if when is None else self.loop.call_at(when, action or self._start_next_call)
        )

    def _batch_calls(self) -> None:
        """Merge all waiting orders, including unresolved ones, as each call is a message to every proxy."""
        if self.in_flight_call.is_unresolved:
            self.in_flight_call.merge_into_later_call(self.pending_calls[0])
        self.outbox.merge_calls()

    def _must_wait(self) -> bool:
        """Return whether the limits of the channel delay the first call."""
        now = self.loop.clock.now()
        when = self.channel_limits.free_at(now, self.in_flight_call.is_unresolved)
        self.waits_for_capacity = when > now
        if self.waits_for_capacity:
            self._wait_until(when)
            if self.in_flight_call.is_unresolved:  # the store may show earlier that no retry is needed
                self.in_flight_call.query_outcome(
                    self.client.address, self.pending_calls[0], until_known=True
                )
        return self.waits_for_capacity

    def _send(self, encoded_orders: str) -> None:
        now = self.loop.clock.now()
        previous_send = self.in_flight_call.sent_at if self.in_flight_call.is_unresolved else None
        lines = self.backlog.size(self.pending_calls[0])
        if not self.invariants.check_send(
            now, Attempt(self.pending_calls[0], lines, previous_send, self.awaiting_response)
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
            "POST",
            "/",
            self.RESPONSE_TIMEOUT,
            self._on_response,
            encode_form(encoded_orders),
            FORM_CONTENT_TYPE,
        )

    # ---- implemented by Relay ------------------------------------------------------------------------

    def _on_response(self, response: HttpResponse) -> None:
        raise NotImplementedError

    def _on_outcome(self, outcome: CallOutcome, applied_count: int) -> None:
        raise NotImplementedError

    def _retry_unresolved(self) -> None:
        raise NotImplementedError

    def _drop_blocked_orders(self) -> None:
        raise NotImplementedError
