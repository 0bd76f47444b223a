"""Basic types of scoped distribution: versions and resources.  No I/O."""

from __future__ import annotations

import xxhash

from ...encoding.rows import Row

ServiceName = str
DistributorName = str
SubscriberName = str


class Version(Row, frozen=True, order=True):
    """Identifies the ledger entry up to which content is current.

    Versions are ordered by term, then index, like committed entries of the ledger.
    """

    term: int
    index: int

    def text(self) -> str:
        """Returns `term.index`."""
        return f"{self.term}.{self.index}"


NO_VERSION = Version(0, 0)  # no content is held


MARK_BYTES = 4  # of a subscriber's mark: two of 6,500 subscribers have the same one in 1 of 200 fleets


def subscriber_mark(subscriber: SubscriberName) -> bytes:
    """Returns a short hash of a subscriber's name, for reports that list all subscribers."""
    return xxhash.xxh32_digest(subscriber.encode())


class Resource(Row, frozen=True):
    """A key of a service with its value, such as a backend with its state; `body` is opaque."""

    key: str
    body: bytes
