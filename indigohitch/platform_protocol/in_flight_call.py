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
        self.may_repeat = False  # it is in doubt, and may go again
        self.unsent = 0  # tries in a row by which nothing went out
        self.went = self.went_before = 0  # when a call did last that may have been carried out; and before
        self.proof = MarkerEvidence()
        self.inquiry = OutcomeQuery(loop, found)
        # Orders of earlier calls that nobody knows of, each once: what they set goes again in this one.
        self.maybe: dict[face.Order, None] = {}
        self.stood: Callable[[], stored_tables.StoredTables] = (
            dict  # what stands in the store, but for calls in doubt
        )

    @property
    def in_doubt(self) -> bool:
        return self.failures > 0

    @property
    def anything_unknown(self) -> bool:
        """Whether orders of it may stand that were never answered."""
        return self.failures > 0 or bool(self.maybe)

    def sending(self, orders: Sequence[face.Order]) -> bool:
        """It goes now; whether these are other orders than those that went last."""
        self.inquiry.drop()
        self.went_before, self.went = self.went, self.loop.clock.now()
        self.may_repeat = False
        return self.proof.begin(orders)

    def failed(self) -> None:
        """It went, and whether it was carried out is not known."""
        self.failures += 1
        self.may_repeat = False

    def came_to_nothing(self) -> None:
        """What went last surely was not carried out; what is known of earlier tries stays as it is."""
        self.went = self.went_before
        self.may_repeat = self.in_doubt

    def joined_by_later(self, orders: Sequence[face.Order]) -> None:
        """It goes again as a part of a call of more."""
        self.maybe |= dict.fromkeys(order for order in orders if not isinstance(order, face.UpdateMarker))
        self.failures, self.may_repeat = 0, False

    def settled(self, more_to_come: bool) -> None:
        """It stands, is void or was not carried out."""
        self.inquiry.drop()
        self.failures, self.may_repeat = 0, False
        if not more_to_come:
            self.maybe = {}  # all of it went again in what stands now

    def inquire(self, to: tuple[str, int], orders: Sequence[face.Order], until_known: bool = False) -> None:
        """What stands in the store may tell, and costs no message; a sign of life lets it go again."""
        evidence = TableEvidence(self.stood(), orders, self.maybe)
        if evidence.any or not until_known:
            self.inquiry.open(to, self.went, evidence, until_known)

    def repeat_at(self, in_reach: bool) -> int:
        """When it may go again: soon where the relay has shown to be in reach."""
        wait = retry_delay(self.failures) if in_reach else BLIND_RETRY_DELAY
        return max(self.loop.clock.now(), self.went + wait)

    def shown_by(self, mark: int, orders: Sequence[face.Order]) -> bool:
        """Whether this mark, answered, shows that these orders were carried out."""
        return self.proof.orders is orders and self.proof.answered(mark)
