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
    COUNTS = "counts"
    BEGUN_ANEW = "begun anew"  # counts, and discovery counts from the start
    CROSSED = "crossed"  # older than what is held, or from another count, as it was asked before
    DOUBTED = "doubted"  # older though it was asked since: what holds has to be asked for

    @property
    def counts(self) -> bool:
        return self in (ListVerdict.COUNTS, ListVerdict.BEGUN_ANEW)


@dataclass(slots=True, frozen=True)
class ListRequest:
    """A call as it was sent: all that is held from `base` on is asked for, or the whole list (None)."""

    number: int
    base: int | None
    sent: int
    count: int  # which count of discovery's, and which address it went to
    place: int


@dataclass(slots=True)
class UnconfirmedVersion:
    """Since when older answers come, the oldest of them, and how many came."""

    since: int
    version: int
    answers: int = 0


class ListVersions:
    # What a list says counts as told once it is written, and a drain then has 3 s: two thirds stay for it.
    # A copy that lags by more is out of order itself.
    BELIEF = SECOND

    def __init__(self, held: int) -> None:
        self.held = held
        self.doubt: UnconfirmedVersion | None = None
        self._asks = self._learnt = 0  # asks sent in all, and before `held` was learnt
        self._count = self._place = 0

    def ask(self, now: int, whole: bool, left: bool = False) -> ListRequest:
        """`left`: it goes to the address that is moved away from."""
        self._asks += 1
        return ListRequest(
            self._asks, None if whole else self.held, now, self._count, -1 if left else self._place
        )

    def moved(self) -> None:
        """To another address: what the last one still answers counts, yet says nothing of the new one."""
        self._place += 1
        self.doubt = None

    def ask_again_at(self, now: int) -> int:
        """While in doubt: at once, as a stale answer mostly comes alone; then once it can be believed."""
        return now if self.doubt.answers == 1 else max(now, self.doubt.since + self.BELIEF)

    def judge(self, ask: ListRequest, news: face.BackendList, now: int) -> ListVerdict:
        if news.scope == "changes" and ask.base is None:
            raise ValueError("changes, where the whole list was asked for")
        if ask.count != self._count:
            return ListVerdict.CROSSED  # changes since another count's generation would leave a gap
        if news.version >= self.held:
            if ask.place == self._place:
                self.doubt = None
            self._hold(news.version)
            return ListVerdict.COUNTS
        if ask.number <= self._learnt or ask.place != self._place:
            return ListVerdict.CROSSED
        return self._older(ask, news, now)

    def _older(self, ask: ListRequest, news: face.BackendList, now: int) -> ListVerdict:
        if self.doubt is None or news.version < self.doubt.version:
            self.doubt = UnconfirmedVersion(now, news.version)  # older still: it is not settled what holds
        elif news.scope == "full" and ask.sent >= self.doubt.since + self.BELIEF:
            self.doubt = None
            self._count += 1
            self.held = news.version
            return ListVerdict.BEGUN_ANEW
        self.doubt.answers += 1
        return ListVerdict.DOUBTED

    def _hold(self, version: int) -> None:
        if version > self.held:
            self._learnt, self.held = self._asks, version
