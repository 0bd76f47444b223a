"""What the parts of the distribution speak of: versions and resources.  No I/O, no decisions."""

from __future__ import annotations

import xxhash

from ...encoding.rows import Row

ServiceName = str
DistributorName = str
SubscriberName = str


class Version(Row, frozen=True, order=True):
    """The ledger entry that a content stands at.  Ordered by term, then index; committed entries of the
    ledger are in that order too."""

    term: int
    index: int

    def text(self) -> str:
        return f"{self.term}.{self.index}"


NO_VERSION = Version(0, 0)  # of who holds nothing


MARK_BYTES = 4  # bytes of a subscriber's mark: among 6,500 two are alike once in two hundred fleets


def subscriber_mark(subscriber: SubscriberName) -> bytes:
    """A short name for reports that list all subscribers."""
    return xxhash.xxh32_digest(subscriber.encode())


class Resource(Row, frozen=True):
    """One entry of a service, as a backend with its state; `body` is opaque to the distribution."""

    key: str
    body: bytes
