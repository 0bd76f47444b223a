"""Decides which responses of discovery to accept when requests overlap or discovery restarts.  No I/O.

The version grows while one discovery process runs, so an older version in a response has one of three causes:
- the current version was received after the request was sent: the response is superseded and ignored;
- the response comes from a replica that lags: a temporary state;
- discovery has restarted and counts versions from the start: a permanent state.
Only time distinguishes the last two.  Until older responses have continued for `CONFIRM_AFTER`, the current
list is kept, so a drained backend stays drained; then the full list is accepted, and responses to earlier
requests are ignored.  Limits: a replica that lags for longer than `CONFIRM_AFTER` is accepted, and a
restarted count that has passed the old one before the next request is not detected; the full list is
requested wherever that can happen.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .. import interface as face
from ..net.clock import SECOND


class ListVerdict(enum.Enum):
    """How a response is treated; the values appear in the log."""

    ACCEPTED = "counts"
    RESET = "begun anew"  # accepted, and discovery counts from the start
    SUPERSEDED = "crossed"  # requested before the current version or epoch was known
    UNCONFIRMED = "doubted"  # older though requested since: has to be requested again

    @property
    def is_accepted(self) -> bool:
        """Whether the list replaces or extends the current one."""
        return self in (ListVerdict.ACCEPTED, ListVerdict.RESET)


@dataclass(slots=True, frozen=True)
class ListRequest:
    """A request as sent: for the changes since version `base`, or for the full list (None)."""

    number: int
    base: int | None
    sent_at: int
    epoch: int  # number of restarts of discovery seen so far
    address_number: int


@dataclass(slots=True)
class UnconfirmedVersion:
    """Older responses: when the first arrived, the lowest version and how many there were."""

    first_seen_at: int
    version: int
    response_count: int = 0


class ListVersions:
    """Tracks the current version and classifies each response against it."""

    # A drain has 3 s from when its list was sent: this leaves it two thirds.  A replica that lags by more
    # is faulty itself.
    CONFIRM_AFTER = SECOND

    def __init__(self, version: int) -> None:
        self.current = version
        self.unconfirmed: UnconfirmedVersion | None = None
        self._request_count = 0
        self._requests_before_current = 0  # requests sent before `current` was received
        self._epoch = 0
        self._address_number = 0

    def new_request(self, now: int, whole: bool, left: bool = False) -> ListRequest:
        """Register a request at `now`, for the full list if `whole`.

        `left` marks one to the address before the last move.
        """
        self._request_count += 1
        return ListRequest(
            self._request_count,
            None if whole else self.current,
            now,
            self._epoch,
            -1 if left else self._address_number,
        )

    def on_address_change(self) -> None:
        """Start at another address; responses of the old one confirm nothing about it."""
        self._address_number += 1
        self.unconfirmed = None

    def retry_at(self, now: int) -> int:
        """Time of the next request while unconfirmed.

        The first is immediate, as a stale response mostly comes alone; the next waits for confirmation.
        """
        return (
            now
            if self.unconfirmed.response_count == 1
            else max(now, self.unconfirmed.first_seen_at + self.CONFIRM_AFTER)
        )

    def classify(self, request: ListRequest, update: face.BackendList, now: int) -> ListVerdict:
        """Classify a response received at `now` and update the current version.

        Raises ValueError if changes arrive in response to a request for the full list.
        """
        if update.scope == "changes" and request.base is None:
            raise ValueError("changes, where the whole list was asked for")
        if request.epoch != self._epoch:
            return ListVerdict.SUPERSEDED  # changes since a version of another epoch would leave a gap
        if update.version >= self.current:
            if request.address_number == self._address_number:
                self.unconfirmed = None
            self._advance(update.version)
            return ListVerdict.ACCEPTED
        if request.number <= self._requests_before_current or request.address_number != self._address_number:
            return ListVerdict.SUPERSEDED
        return self._classify_older(request, update, now)

    def _classify_older(self, request: ListRequest, update: face.BackendList, now: int) -> ListVerdict:
        if self.unconfirmed is None or update.version < self.unconfirmed.version:
            self.unconfirmed = UnconfirmedVersion(
                now, update.version
            )  # older still: the confirmation starts again
        elif (
            update.scope == "full" and request.sent_at >= self.unconfirmed.first_seen_at + self.CONFIRM_AFTER
        ):
            self.unconfirmed = None
            self._epoch += 1
            self.current = update.version
            return ListVerdict.RESET
        self.unconfirmed.response_count += 1
        return ListVerdict.UNCONFIRMED

    def _advance(self, version: int) -> None:
        if version > self.current:
            self._requests_before_current = self._request_count
            self.current = version
