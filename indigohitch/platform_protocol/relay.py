"""Calls to the relay: one at a time, each until it stands; what becomes of one that went."""

from __future__ import annotations

from .. import interface as face
from ..logic.call_scheduling import resend_delay
from ..net.clock import SECOND
from ..net.http_exchange import HttpResponse
from .call_codec import encode, read_answer
from .call_queue import CallQueue
from .call_resolution import CallOutcome


class Relay(CallQueue):
    THROTTLED = SECOND // 20  # soon: before the run begins every call is turned away
    UNSENT = ("connect_failed", "unreached")  # outcomes by which nothing can have been carried out

    def _answered(self, answer: HttpResponse) -> None:
        orders, self.out = self.waiting[0], False
        try:
            said = read_answer(answer)
            if isinstance(said, int) and said > len(orders):
                raise ValueError(f"{said} taken of {len(orders)}")
        except ValueError as bad:
            said = str(bad)
        self.first.unsent = self.first.unsent + 1 if answer.outcome in self.UNSENT else 0
        if isinstance(said, int):
            self._taken(said, "answer")
            self._call()
        elif said == "ValidationError":
            # The same again would be turned away again: never in a loop.
            self.log.warning("relay_call_invalid", orders=len(orders), first=encode(orders[0], self.methods))
            self._came_to_nothing()
            self._drop(self.waiting.popleft())
            self._call()
        elif said == "Throttling":
            self.log.count("relay_throttled")
            self._again_after(self.THROTTLED)
        else:
            self.told.unclear(said, orders, answer)
            self.failing(answer.outcome)
            if self.first.unsent:
                self._again_after(resend_delay(self.first.unsent))
            else:
                self._unclear()

    def _came_to_nothing(self) -> None:
        """What went last surely was not carried out."""
        self.bounds.last_not_carried_out()
        self.guard.not_carried_out()

    def _again_after(self, span: int) -> None:
        """This try came to nothing."""
        self._came_to_nothing()
        self.first.came_to_nothing()
        self._wait_until(self.loop.clock.now() + span)

    def _drop(self, orders: list[face.Order]) -> None:
        """These will never go again; whether they stand is read where that is not known."""
        doubt = self.first.anything_unknown
        self.first.settled(more_to_come=False)
        self.dropped(orders)
        if doubt:
            self.doubted()

    # ---- a call in doubt ---------------------------------------------------------------------------

    def _unclear(self) -> None:
        """Carried out or not at all: it is looked up before it goes again."""
        self.first.failed()
        if self.first.proof.shown:
            self._stands_as_shown()
        else:
            self._call()

    def _repeat(self) -> None:
        self.first.may_repeat = True
        self._call()

    def _found(self, effect: CallOutcome, proved: int) -> None:
        """What stands in the store tells what became of the call, or only that the relay is in reach."""
        if effect is CallOutcome.UNKNOWN:
            self._wait_until(self.first.repeat_at(in_reach=True), self._repeat)
            return
        self.log.event("call_outcome_resolved", effect=effect.value, orders=proved)
        if effect is CallOutcome.STANDS:
            self._taken(proved, "tables")
        else:
            for _ in range(self.bounds.none_carried_out()):
                self.guard.not_carried_out()
            self.first.settled(more_to_come=True)
        self._call()

    def proxy_left(self, proxy: int) -> None:
        self.backlog.left(proxy)
        self._room_made()

    def _room_made(self) -> None:
        """A call that waits for the channel may go sooner than was thought."""
        if self.bounded and self.bounds.has_room(self.loop.clock.now()):
            self._call()

    def answered_mark(self, proxy: int, mark: int) -> None:
        """A proxy has applied all up to this mark: the call that ends with it was carried out, to its end."""
        self.backlog.answered(proxy, mark)
        shown = self.waiting and self.first.shown_by(mark, self.waiting[0])
        if shown and self.first.in_doubt and not self.out:
            self._stands_as_shown()
        else:
            self._room_made()

    def _stands_as_shown(self) -> None:
        self.log.count("calls_confirmed_by_markers")
        self._taken(len(self.waiting[0]), "mark")
        self._call()

    def _taken(self, count: int, by: str) -> None:
        """So many orders stand; by the answer the next one is refused, else the rest is still to go."""
        self.log.count("orders_applied", count)
        self.told.stands(count, by)
        stands, refused = self.outbox.take(count, by == "answer")
        self.first.settled(more_to_come=bool(self.waiting))
        self.stands(stands)
        if refused:
            self.log.warning("order_rejected", order=encode(refused[0], self.methods))
            self.dropped(refused)

    def close(self) -> None:
        urgent = sum(self.outbox.urgent_in(call) for call in self.waiting)
        self.guard.ending(urgent, len(self.pending()))
        self.first.inquiry.drop()
        self.client.close()
