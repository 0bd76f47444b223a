"""Calls to the relay: one at a time, each until it stands; what becomes of one that went."""

from __future__ import annotations

from .. import interface as face
from ..logic.call_scheduling import resend_delay
from ..net.clock import SECOND
from ..net.http_exchange import HttpResponse
from .call_codec import encode_order, parse_response
from .call_queue import CallQueue
from .call_resolution import CallOutcome


class Relay(CallQueue):
    THROTTLE_DELAY = SECOND // 20  # soon: before the run begins every call is turned away
    UNSENT_OUTCOMES = ("connect_failed", "unreached")  # outcomes by which nothing can have been carried out

    def _on_response(self, answer: HttpResponse) -> None:
        orders, self.awaiting_response = self.pending_calls[0], False
        try:
            said = parse_response(answer)
            if isinstance(said, int) and said > len(orders):
                raise ValueError(f"{said} taken of {len(orders)}")
        except ValueError as bad:
            said = str(bad)
        self.in_flight_call.unsent_attempts = (
            self.in_flight_call.unsent_attempts + 1 if answer.outcome in self.UNSENT_OUTCOMES else 0
        )
        if isinstance(said, int):
            self._take_applied(said, "answer")
            self._start_next_call()
        elif said == "ValidationError":
            # The same again would be turned away again: never in a loop.
            self.log.warning(
                "relay_call_invalid", orders=len(orders), first=encode_order(orders[0], self.methods)
            )
            self._revert_last_send()
            self._drop_orders(self.pending_calls.popleft())
            self._start_next_call()
        elif said == "Throttling":
            self.log.count("relay_throttled")
            self._retry_after(self.THROTTLE_DELAY)
        else:
            self.call_log.log_unresolved(said, orders, answer)
            self.on_call_failed(answer.outcome)
            if self.in_flight_call.unsent_attempts:
                self._retry_after(resend_delay(self.in_flight_call.unsent_attempts))
            else:
                self._handle_unresolved()

    def _revert_last_send(self) -> None:
        """What went last surely was not carried out."""
        self.channel_limits.revert_last_send()
        self.invariants.revert_send()

    def _retry_after(self, span: int) -> None:
        """This try came to nothing."""
        self._revert_last_send()
        self.in_flight_call.revert_send()
        self._wait_until(self.loop.clock.now() + span)

    def _drop_orders(self, orders: list[face.Order]) -> None:
        """These will never go again; whether they stand is read where that is not known."""
        doubt = self.in_flight_call.has_unresolved_orders
        self.in_flight_call.settle(more_to_come=False)
        self.on_dropped(orders)
        if doubt:
            self.on_unresolved_drop()

    # ---- a call in doubt ---------------------------------------------------------------------------

    def _handle_unresolved(self) -> None:
        """Carried out or not at all: it is looked up before it goes again."""
        self.in_flight_call.record_unresolved()
        if self.in_flight_call.marker_evidence.is_confirmed:
            self._take_confirmed_call()
        else:
            self._start_next_call()

    def _retry_unresolved(self) -> None:
        self.in_flight_call.may_retry = True
        self._start_next_call()

    def _on_outcome(self, effect: CallOutcome, proved: int) -> None:
        """What stands in the store tells what became of the call, or only that the relay is in reach."""
        if effect is CallOutcome.UNKNOWN:
            self._wait_until(self.in_flight_call.retry_at(in_reach=True), self._retry_unresolved)
            return
        self.log.event("call_outcome_resolved", effect=effect.value, orders=proved)
        if effect is CallOutcome.APPLIED:
            self._take_applied(proved, "tables")
        else:
            for _ in range(self.channel_limits.revert_all_sends()):
                self.invariants.revert_send()
            self.in_flight_call.settle(more_to_come=True)
        self._start_next_call()

    def on_proxy_left(self, proxy: int) -> None:
        self.backlog.remove_proxy(proxy)
        self._on_capacity_freed()

    def _on_capacity_freed(self) -> None:
        """A call that waits for the channel may go sooner than was thought."""
        if self.waits_for_capacity and self.channel_limits.has_capacity(self.loop.clock.now()):
            self._start_next_call()

    def acknowledge_marker(self, proxy: int, mark: int) -> None:
        """A proxy has applied all up to this mark: the call that ends with it was carried out, to its end."""
        self.backlog.acknowledge(proxy, mark)
        shown = self.pending_calls and self.in_flight_call.is_confirmed_by(mark, self.pending_calls[0])
        if shown and self.in_flight_call.is_unresolved and not self.awaiting_response:
            self._take_confirmed_call()
        else:
            self._on_capacity_freed()

    def _take_confirmed_call(self) -> None:
        self.log.count("calls_confirmed_by_markers")
        self._take_applied(len(self.pending_calls[0]), "mark")
        self._start_next_call()

    def _take_applied(self, count: int, by: str) -> None:
        """So many orders stand; by the answer the next one is refused, else the rest is still to go."""
        self.log.count("orders_applied", count)
        self.call_log.log_applied(count, by)
        stands, refused = self.outbox.take(count, by == "answer")
        self.in_flight_call.settle(more_to_come=bool(self.pending_calls))
        self.on_applied(stands)
        if refused:
            self.log.warning("order_rejected", order=encode_order(refused[0], self.methods))
            self.on_dropped(refused)

    def close(self) -> None:
        urgent = sum(self.outbox.urgent_in(call) for call in self.pending_calls)
        self.invariants.report_exit(urgent, len(self.pending()))
        self.in_flight_call.outcome_query.drop()
        self.client.close()
