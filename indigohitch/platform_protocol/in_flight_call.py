"""State of the call at the head of the queue: its attempts, and whether one of them may have been applied."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from .. import interface as face
from ..logic.call_scheduling import BLIND_RETRY_DELAY, retry_delay
from ..net.loop import EventLoop
from . import stored_tables
from .call_resolution import CallOutcome, MarkerEvidence, OutcomeQuery, TableEvidence


class InFlightCall:
    """Tracks the attempts of the call at the head of the queue and the evidence of their outcome."""

    def __init__(self, loop: EventLoop, on_outcome: Callable[[CallOutcome, int], None]) -> None:
        """`on_outcome` receives the outcome that OutcomeQuery finds for an unresolved call."""
        self.loop = loop
        self.failures = 0  # attempts that may have been applied
        self.may_retry = False  # the outcome is unknown, and the call may be sent again
        self.unsent_attempts = 0  # consecutive attempts that sent nothing
        self.sent_at = 0  # when the last attempt that may have been applied was sent
        self.previous_sent_at = 0  # the value of `sent_at` before that attempt
        self.marker_evidence = MarkerEvidence()
        self.outcome_query = OutcomeQuery(loop, on_outcome)
        # Orders of earlier calls with unknown outcome, each once. This call sets the same values again.
        self.unresolved_orders: dict[face.Order, None] = {}
        # Tables whose orders in this call are no longer valid: they count neither as pending nor as applied,
        # and are not sent again.
        self.revoked_tables: set[int] = set()
        # Returns the tables in the store without the effect of unresolved calls.
        self.read_stored_tables: Callable[[], stored_tables.StoredTables] = dict

    @property
    def is_unresolved(self) -> bool:
        """Whether an attempt of this call has an unknown outcome."""
        return self.failures > 0

    @property
    def has_unresolved_orders(self) -> bool:
        """Whether orders that were never acknowledged may have been applied."""
        return self.failures > 0 or bool(self.unresolved_orders)

    def record_send(self, orders: Sequence[face.Order]) -> bool:
        """Record an attempt; return whether its orders differ from those of the previous attempt."""
        self.outcome_query.drop()
        self.previous_sent_at = self.sent_at
        self.sent_at = self.loop.clock.now()
        self.may_retry = False
        return self.marker_evidence.start(orders)

    def is_valid(self, order: face.Order) -> bool:
        """Return whether an order of this call is still valid."""
        return getattr(order, "table", None) not in self.revoked_tables

    def record_unresolved(self) -> None:
        """Record that the last attempt was sent and its outcome is unknown."""
        self.failures += 1
        self.may_retry = False

    def revert_send(self) -> None:
        """Undo `record_send` for an attempt that was not applied; earlier attempts keep their state."""
        self.sent_at = self.previous_sent_at
        self.may_retry = self.is_unresolved

    def merge_into_later_call(self, orders: Sequence[face.Order]) -> None:
        """Keep these orders as unresolved, as a larger call will send them again."""
        self.unresolved_orders |= dict.fromkeys(
            order for order in orders if not isinstance(order, face.UpdateMarker)
        )
        self.outcome_query.drop()  # its outcome would be taken for that of the later call
        self.failures = 0
        self.may_retry = False

    def settle(self, more_to_come: bool) -> None:
        """Reset the call once it is known to be applied, obsolete or not applied."""
        self.outcome_query.drop()
        self.failures = 0
        self.may_retry = False
        if not more_to_come:
            self.unresolved_orders = {}  # the calls applied since have set all these values again

    def query_outcome(
        self, address: tuple[str, int], orders: Sequence[face.Order], until_known: bool = False
    ) -> None:
        """Query the outcome from the store, which costs no message; a response permits a retry."""
        evidence = TableEvidence(self.read_stored_tables(), orders, self.unresolved_orders)
        if evidence.can_decide or not until_known:
            self.outcome_query.start(address, self.sent_at, evidence, until_known)

    def retry_at(self, in_reach: bool) -> int:
        """Return the time of the next attempt in ticks: sooner if the relay has responded (`in_reach`)."""
        delay = retry_delay(self.failures) if in_reach else BLIND_RETRY_DELAY
        return max(self.loop.clock.now(), self.sent_at + delay)

    def is_confirmed_by(self, marker: int, orders: Sequence[face.Order]) -> bool:
        """Return whether the acknowledgement of this marker proves that these orders were applied."""
        return self.marker_evidence.orders is orders and self.marker_evidence.acknowledge(marker)
