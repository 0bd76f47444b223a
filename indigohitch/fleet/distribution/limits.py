"""Limits of a distributor and of its subscribers.  Times are tenths of a millisecond."""

from __future__ import annotations

from dataclasses import dataclass

from ...net.clock import SECOND


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits of one distributor.

    `resume` and `guard_versions` are disabled only by proofs, which must then fail.
    """

    subscribers: int = 2_200  # three of six distributors can serve 6,500
    services: int = 512  # in one scope
    update_bytes: int = 1 << 20  # in one update
    small_bytes: int = 4 << 10  # updates up to this size are sent at once, larger ones when there is capacity
    large_bytes: int = 4 << 20  # in all unacknowledged updates larger than `small_bytes`
    # Between two updates to one subscriber; changes in between are merged into one update.
    update_interval: int = SECOND // 2
    max_sends_per_step: int = 64  # updates sent in one step, so that a burst does not block the event loop
    acknowledge_timeout: int = 5 * SECOND  # an update that is not acknowledged by then ends the connection
    # How long content counts as current without confirmation.  Subscribers leave a distributor that lags for
    # longer, early enough that changes are in force within 6 s.
    lease: int = 4 * SECOND
    drift: float = 0.01  # clocks deviate from true time by at most this fraction
    departed_retention: int = 600 * SECOND  # how long a disconnected subscriber is reported as unreachable
    retry_after: int = 2 * SECOND  # how long a refused subscriber waits before it returns
    max_rejections: int = 3  # consecutive rejections by one subscriber that close its connection
    resume: bool = True
    guard_versions: bool = True


@dataclass(slots=True, frozen=True)
class SubscriberLimits:
    """Limits of one subscriber; `lease` and `drift` must equal those of the distributors."""

    lease: int = 4 * SECOND
    drift: float = 0.01
    # Upper bound of the random delay before the next distributor is dialled.
    reconnect_jitter: int = SECOND // 2
    backoff: int = SECOND // 2  # after a failure; doubled after each further one in a row
    # Short enough that content is in force within 6 s after a distributor can be reached again.
    max_backoff: int = 2 * SECOND
    # A distributor that is silent for this long is left; it is sent a renewal each second.
    response_timeout: int = 5 * SECOND // 2
    # The preferred distributor is tried again after a random time between one and two times this.
    preferred_retry: int = 60 * SECOND
    guard_versions: bool = True
