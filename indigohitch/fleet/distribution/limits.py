"""Limits of a distributor and of its subscribers.  Times are tenths of a millisecond."""

from __future__ import annotations

from dataclasses import dataclass

from ...net.clock import SECOND


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits of one distributor.

    `resume` and `guard_versions` are turned off only by the proof, which must then fail.
    """

    subscribers: int = 2_200  # 6,500 fit into three of six
    services: int = 512  # of one scope
    update_bytes: int = 1 << 20  # of one update
    small_bytes: int = 4 << 10  # an update up to this is sent at once, a larger one when there is room
    large_bytes: int = 4 << 20  # of all updates larger than that which are out unacknowledged
    update_interval: int = (
        SECOND // 2
    )  # between two updates to one subscriber: changes between them become one update
    max_sends_per_step: int = 64  # updates in one step, so that a burst leaves the loop to others
    acknowledge_timeout: int = 5 * SECOND  # an update that is not answered by then ends the connection
    # How long content counts as current without being confirmed: who lags is left in time for 6 s.
    lease: int = 4 * SECOND
    drift: float = 0.01  # clocks differ by at most this part
    departed_retention: int = 600 * SECOND  # how long a lost subscriber is reported as unreachable
    retry_after: int = 2 * SECOND  # when a refused subscriber may return
    max_rejections: int = 3  # updates in a row that one subscriber may reject
    resume: bool = True
    guard_versions: bool = True


@dataclass(slots=True, frozen=True)
class SubscriberLimits:
    """Limits of one subscriber; `lease` and `drift` as at the distributors."""

    lease: int = 4 * SECOND
    drift: float = 0.01
    first_delay: int = SECOND // 2  # a lost connection: the next is dialled within this, at random
    backoff: int = SECOND // 2  # after a failure, doubled with each in a row
    max_backoff: int = 2 * SECOND  # what is reachable again is in force within 6 s
    response_timeout: int = (
        5 * SECOND // 2
    )  # a distributor that is silent for so long is left: it is asked each second
    home_retry: int = (
        60 * SECOND
    )  # away from the first choice: between one and two of this until it is tried again
    guard_versions: bool = True
