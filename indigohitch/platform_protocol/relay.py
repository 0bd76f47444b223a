"""Calls to the relay, sent one at a time and retried until applied, and the handling of their outcomes."""

from __future__ import annotations

from .. import interface as face
from ..logic.call_scheduling import resend_delay
from ..net.clock import SECOND
from ..net.http_response import HttpResponse
from .call_codec import encode_order, parse_response
from .call_queue import CallQueue
from .call_resolution import CallOutcome


class Relay(CallQueue):
    """Call queue that handles responses and calls with an unknown outcome."""

    THROTTLE_DELAY = SECOND // 20  # short, as the relay throttles every call before the run begins
    # Outcomes after which the call cannot have been applied.
    UNSENT_OUTCOMES = ("connect_failed", "unreached")

    def _on_response(self, response: HttpResponse) -> None:
        self.revocations.mark(keep_first=True)
        orders = self.pending_calls[0]
        self.awaiting_response = False
        try:
            result = parse_response(response)
            if isinstance(result, int) and result > len(orders):
                raise ValueError(f"response counts {result} applied orders of {len(orders)} sent")
        except ValueError as error:
            result = str(error)
        self.in_flight_call.unsent_attempts = (
            self.in_flight_call.unsent_attempts + 1 if response.outcome in self.UNSENT_OUTCOMES else 0
        )
        if isinstance(result, int):
            self._take_applied(result, "answer")
            self._start_next_call()
        elif result == "ValidationError":
            # A retry would be rejected again.
            self.log.warning(
                "relay_call_invalid", orders=len(orders), first=encode_order(orders[0], self.methods)
            )
            self._revert_last_send()
            self._drop_orders([*filter(self.in_flight_call.is_valid, self.pending_calls.popleft())])
            self._start_next_call()
        elif result == "Throttling":
            self.log.count("relay_throttled")
            self._retry_after(self.THROTTLE_DELAY)
        else:
            self.call_log.log_unresolved(result, orders, response)
            self.on_call_failed(response.outcome)
            if self.in_flight_call.unsent_attempts:
                self._retry_after(resend_delay(self.in_flight_call.unsent_attempts))
            else:
                self._handle_unresolved()

    def _revert_last_send(self) -> None:
        """Undo the record of the last send, which is known not to have been applied."""
        self.channel_limits.revert_last_send()
        self.invariants.revert_send()

    def _retry_after(self, delay: int) -> None:
        """Undo the record of the last attempt and retry after `delay` ticks."""
        self._revert_last_send()
        self.in_flight_call.revert_send()
        self._wait_until(self.loop.clock.now() + delay)

    def _drop_orders(self, orders: list[face.Order]) -> None:
        """Drop these orders; if they may have been applied, the actual state is read again."""
        may_be_applied = self.in_flight_call.has_unresolved_orders
        self.in_flight_call.revoked_tables = set()
        self.in_flight_call.settle(more_to_come=False)
        self.on_dropped(orders)
        if may_be_applied:
            self.on_unresolved_drop()

    def _drop_blocked_orders(self) -> None:
        """Drop all orders, as they will be outdated once a call is allowed again."""
        blocked = self.pending()
        self.log.count("orders_blocked", len(blocked))
        self.pending_calls.clear()
        self.idle = True
        self._drop_orders(blocked)

    # ---- a call with unknown outcome -----------------------------------------------------------------

    def _handle_unresolved(self) -> None:
        """Find out whether the call was applied before it is retried; it is applied whole or not at all."""
        self.in_flight_call.record_unresolved()
        if self.in_flight_call.marker_evidence.is_confirmed:
            self._take_confirmed_call()
        else:
            self._start_next_call()

    def _retry_unresolved(self) -> None:
        self.in_flight_call.may_retry = True
        self._start_next_call()

    def _on_outcome(self, outcome: CallOutcome, applied_count: int) -> None:
        """Act on the outcome that the stored tables show; UNKNOWN only means that the relay is reachable."""
        if outcome is CallOutcome.UNKNOWN:
            self._wait_until(self.in_flight_call.retry_at(in_reach=True), self._retry_unresolved)
            return
        self.log.event("call_outcome_resolved", effect=outcome.value, orders=applied_count)
        if outcome is CallOutcome.APPLIED:
            self._take_applied(applied_count, "tables")
        else:
            for _ in range(self.channel_limits.revert_all_sends()):
                self.invariants.revert_send()
            self.in_flight_call.settle(more_to_come=True)
        self._start_next_call()

    def on_proxy_left(self, proxy: int) -> None:
        """Remove a proxy from the backlog, which may free capacity for the next call."""
        self.backlog.remove_proxy(proxy)
        self._on_capacity_freed()

    def _on_capacity_freed(self) -> None:
        """Send the call that waits for capacity if the channel now has it."""
        if self.waits_for_capacity and self.channel_limits.has_capacity(self.loop.clock.now()):
            self._start_next_call()

    def acknowledge_marker(self, proxy: int, marker: int) -> None:
        """Record that a proxy applied all orders up to a marker, which confirms a call that ends with it."""
        self.backlog.acknowledge(proxy, marker)
        is_confirmed = self.pending_calls and self.in_flight_call.is_confirmed_by(
            marker, self.pending_calls[0]
        )
        if is_confirmed and self.in_flight_call.is_unresolved and not self.awaiting_response:
            self._take_confirmed_call()
        else:
            self._on_capacity_freed()

    def _take_confirmed_call(self) -> None:
        self.log.count("calls_confirmed_by_markers")
        self._take_applied(len(self.pending_calls[0]), "mark")
        self._start_next_call()

    def _take_applied(self, count: int, source: str) -> None:
        """Remove `count` applied orders; with the source "answer" an order that follows them was rejected."""
        self.log.count("orders_applied", count)
        self.call_log.log_applied(count, source)
        self.revocations.mark(keep_first=True)
        call = self.in_flight_call
        is_partly_applied = count + (source == "answer") < len(self.pending_calls[0])
        applied, rejected = self.outbox.take(count, source == "answer")
        valid = [order for order in applied if call.is_valid(order)]
        revoked = [order for order in applied if not call.is_valid(order)]
        if is_partly_applied:
            self.outbox.discard_from_first_call(call.revoked_tables)
        rejected = [order for order in rejected if call.is_valid(order)]
        call.revoked_tables = set()
        call.settle(more_to_come=bool(self.pending_calls))
        self.on_applied(valid)
        if revoked:
            self.revocations.on_applied(revoked)
        if rejected:
            self.log.warning("order_rejected", order=encode_order(rejected[0], self.methods))
            self.on_dropped(rejected)

    def close(self) -> None:
        """Report the orders left in the queue and close the connections."""
        urgent = sum(self.outbox.urgent_count(call) for call in self.pending_calls)
        self.invariants.report_exit(urgent, len(self.pending()))
        self.in_flight_call.outcome_query.drop()
        self.client.close()
