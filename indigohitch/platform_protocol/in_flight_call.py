"""What is known of the call at the head of the queue: its tries, and whether one of them may stand."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from .. import interface as face
from ..logic.call_scheduling import BLIND_RETRY_DELAY, retry_delay
from ..net.loop import EventLoop
from . import stored_tables
from .call_resolution import CallOutcome, MarkerEvidence, OutcomeQuery, TableEvidence


class InFlightCall:
    def __init__(self, loop: EventLoop, found: Callable[[CallOutcome, int], None]) -> None:
        """`found` hears what the store tells of a call in doubt (OutcomeQuery)."""
        self.loop = loop
        self.failures = 0  # tries that may have been carried out
        self.may_retry = False  # it is in doubt, and may go again
        self.unsent_attempts = 0  # tries in a row by which nothing went out
        self.sent_at = self.previous_sent_at = (
            0  # when a call did last that may have been carried out; and before
        )
        self.marker_evidence = MarkerEvidence()
        self.outcome_query = OutcomeQuery(loop, found)
        # Orders of earlier calls that nobody knows of, each once: what they set goes again in this one.
        self.unresolved_orders: dict[face.Order, None] = {}
        self.read_stored_tables: Callable[[], stored_tables.StoredTables] = (
            dict  # what stands in the store, but for calls in doubt
        )

    @property
    def is_unresolved(self) -> bool:
        return self.failures > 0

    @property
    def has_unresolved_orders(self) -> bool:
        """Whether orders of it may stand that were never answered."""
        return self.failures > 0 or bool(self.unresolved_orders)

    def record_send(self, orders: Sequence[face.Order]) -> bool:
        """It goes now; whether these are other orders than those that went last."""
        self.outcome_query.drop()
        self.previous_sent_at, self.sent_at = self.sent_at, self.loop.clock.now()
        self.may_retry = False
        return self.marker_evidence.start(orders)

    def record_unresolved(self) -> None:
        """It went, and whether it was carried out is not known."""
        self.failures += 1
        self.may_retry = False

    def revert_send(self) -> None:
        """What went last surely was not carried out; what is known of earlier tries stays as it is."""
        self.sent_at = self.previous_sent_at
        self.may_retry = self.is_unresolved

    def merge_into_later_call(self, orders: Sequence[face.Order]) -> None:
        """It goes again as a part of a call of more."""
        self.unresolved_orders |= dict.fromkeys(
            order for order in orders if not isinstance(order, face.UpdateMarker)
        )
        self.failures, self.may_retry = 0, False

    def settle(self, more_to_come: bool) -> None:
        """It stands, is void or was not carried out."""
        self.outcome_query.drop()
        self.failures, self.may_retry = 0, False
        if not more_to_come:
            self.unresolved_orders = {}  # all of it went again in what stands now

    def query_outcome(
        self, to: tuple[str, int], orders: Sequence[face.Order], until_known: bool = False
    ) -> None:
        """What stands in the store may tell, and costs no message; a sign of life lets it go again."""
        evidence = TableEvidence(self.read_stored_tables(), orders, self.unresolved_orders)
        if evidence.can_decide or not until_known:
            self.outcome_query.start(to, self.sent_at, evidence, until_known)

    def retry_at(self, in_reach: bool) -> int:
        """When it may go again: soon where the relay has shown to be in reach."""
        wait = retry_delay(self.failures) if in_reach else BLIND_RETRY_DELAY
        return max(self.loop.clock.now(), self.sent_at + wait)

    def is_confirmed_by(self, mark: int, orders: Sequence[face.Order]) -> bool:
        """Whether this mark, answered, shows that these orders were carried out."""
        return self.marker_evidence.orders is orders and self.marker_evidence.acknowledge(mark)
