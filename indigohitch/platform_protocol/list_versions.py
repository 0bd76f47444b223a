"""Decides which responses of discovery to accept when requests overlap or discovery restarts; does no I/O.

The version grows while one discovery process runs, so an older version in a response has one of three causes:
- the current version was received after the request was sent: the response is superseded and ignored;
- the response comes from a replica that lags: a temporary state;
- discovery has restarted and counts versions from the start: a permanent state.
Only time distinguishes the last two.  Until older responses have continued for `CONFIRM_AFTER`, the current
list is kept, so that a drained backend stays drained; then the full list is accepted, and responses to
earlier requests are ignored.  Limits: a replica that lags for longer than `CONFIRM_AFTER` is accepted; a
restart is not detected if the new count has passed the old one before the next request, so the full list is
requested wherever that can happen.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .. import interface as face
from ..net.clock import SECOND


class ListVerdict(enum.Enum):
    """Classes of responses by how they are treated; the values appear in the log."""

    ACCEPTED = "counts"
    RESET = "begun anew"  # accepted, as discovery has restarted its count
    SUPERSEDED = "crossed"  # requested before the current version or epoch was known
    UNCONFIRMED = "doubted"  # older than the current version, yet requested after it: to be requested again

    @property
    def is_accepted(self) -> bool:
        """Return whether the list replaces or extends the current one."""
        return self in (ListVerdict.ACCEPTED, ListVerdict.RESET)


@dataclass(slots=True, frozen=True)
class ListRequest:
    """Describes a sent request: for the changes since version `base`, or for the full list (None)."""

    number: int
    base: int | None
    sent_at: int
    epoch: int  # number of restarts of discovery detected before the request
    address_number: int  # number of address changes before the request; -1 for the previous address


@dataclass(slots=True)
class UnconfirmedVersion:
    """Sums up older responses: when the first arrived, their lowest version, and their count."""

    first_seen_at: int
    version: int
    response_count: int = 0


class ListVersions:
    """Tracks the current version and classifies each response against it."""

    # A drain has to end within 3 s from when its list was sent: this leaves it two thirds of that.  A replica
    # that lags for longer is itself at fault.
    CONFIRM_AFTER = SECOND

    def __init__(self, version: int) -> None:
        self.current = version
        self.unconfirmed: UnconfirmedVersion | None = None
        self._request_count = 0
        self._requests_before_current = 0  # requests sent before `current` was received
        self._epoch = 0
        self._address_number = 0

    def new_request(self, now: int, full: bool, to_previous: bool = False) -> ListRequest:
        """Register a request at `now`, for the full list if `full`.

        `to_previous` marks one to the address before the last address change.
        """
        self._request_count += 1
        return ListRequest(
            self._request_count,
            None if full else self.current,
            now,
            self._epoch,
            -1 if to_previous else self._address_number,
        )

    def on_address_change(self) -> None:
        """Handle a change of address; responses from the old address confirm nothing about the new one."""
        self._address_number += 1
        self.unconfirmed = None

    def retry_at(self, now: int) -> int:
        """Return when to send the next request while an older version is unconfirmed.

        The first repetition is immediate, as a stale response is mostly a single one; later ones wait until
        a response could confirm the older version.
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
            raise ValueError("received changes in response to a request for the full list")
        if request.epoch != self._epoch:
            return ListVerdict.SUPERSEDED  # changes from a version of another epoch would leave a gap
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
            # The version is lower than any before: the confirmation starts again.
            self.unconfirmed = UnconfirmedVersion(now, update.version)
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
