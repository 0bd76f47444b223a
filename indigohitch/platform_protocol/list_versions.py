"""Which answer of discovery counts, where several are out at once and discovery may begin anew.  No I/O.

The generation grows while one discovery lives, so an older one in an answer is one of three things:
- a crossing: what is held was learnt after the call was sent.  The answer says nothing new: void;
- a stale answer to a call sent later: from a copy that lags.  It passes;
- a discovery that counts from the start.  It stays.
The last two look alike at first; time tells them apart.  Until the older answers have gone on for `BELIEF`
what is held stands, so a drained backend stays drained; then the whole list counts, and nothing asked before
that does.  Where it ends: a copy that lags for longer than `BELIEF` is believed, and a new count that has
passed the old one before we ask is not seen to be new; the whole list is asked for wherever one may be met.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .. import interface as face
from ..net.clock import SECOND


class ListVerdict(enum.Enum):
    ACCEPTED = "counts"
    RESET = "begun anew"  # counts, and discovery counts from the start
    SUPERSEDED = "crossed"  # older than what is held, or from another count, as it was asked before
    UNCONFIRMED = "doubted"  # older though it was asked since: what holds has to be asked for

    @property
    def is_accepted(self) -> bool:
        return self in (ListVerdict.ACCEPTED, ListVerdict.RESET)


@dataclass(slots=True, frozen=True)
class ListRequest:
    """A call as it was sent: all that is held from `base` on is asked for, or the whole list (None)."""

    number: int
    base: int | None
    sent_at: int
    epoch: int  # which count of discovery's, and which address it went to
    address_number: int


@dataclass(slots=True)
class UnconfirmedVersion:
    """Since when older answers come, the oldest of them, and how many came."""

    first_seen_at: int
    version: int
    response_count: int = 0


class ListVersions:
    # What a list says counts as told once it is written, and a drain then has 3 s: two thirds stay for it.
    # A copy that lags by more is out of order itself.
    CONFIRM_AFTER = SECOND

    def __init__(self, held: int) -> None:
        self.current = held
        self.unconfirmed: UnconfirmedVersion | None = None
        self._request_count = self._requests_before_current = (
            0  # asks sent in all, and before `held` was learnt
        )
        self._epoch = self._address_number = 0

    def new_request(self, now: int, whole: bool, left: bool = False) -> ListRequest:
        """`left`: it goes to the address that is moved away from."""
        self._request_count += 1
        return ListRequest(
            self._request_count,
            None if whole else self.current,
            now,
            self._epoch,
            -1 if left else self._address_number,
        )

    def on_address_change(self) -> None:
        """To another address: what the last one still answers counts, yet says nothing of the new one."""
        self._address_number += 1
        self.unconfirmed = None

    def retry_at(self, now: int) -> int:
        """While in doubt: at once, as a stale answer mostly comes alone; then once it can be believed."""
        return (
            now
            if self.unconfirmed.response_count == 1
            else max(now, self.unconfirmed.first_seen_at + self.CONFIRM_AFTER)
        )

    def classify(self, ask: ListRequest, news: face.BackendList, now: int) -> ListVerdict:
        if news.scope == "changes" and ask.base is None:
            raise ValueError("changes, where the whole list was asked for")
        if ask.epoch != self._epoch:
            return ListVerdict.SUPERSEDED  # changes since another count's generation would leave a gap
        if news.version >= self.current:
            if ask.address_number == self._address_number:
                self.unconfirmed = None
            self._advance(news.version)
            return ListVerdict.ACCEPTED
        if ask.number <= self._requests_before_current or ask.address_number != self._address_number:
            return ListVerdict.SUPERSEDED
        return self._classify_older(ask, news, now)

    def _classify_older(self, ask: ListRequest, news: face.BackendList, now: int) -> ListVerdict:
        if self.unconfirmed is None or news.version < self.unconfirmed.version:
            self.unconfirmed = UnconfirmedVersion(
                now, news.version
            )  # older still: it is not settled what holds
        elif news.scope == "full" and ask.sent_at >= self.unconfirmed.first_seen_at + self.CONFIRM_AFTER:
            self.unconfirmed = None
            self._epoch += 1
            self.current = news.version
            return ListVerdict.RESET
        self.unconfirmed.response_count += 1
        return ListVerdict.UNCONFIRMED

    def _advance(self, version: int) -> None:
        if version > self.current:
            self._requests_before_current, self.current = self._request_count, version
