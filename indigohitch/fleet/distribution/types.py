"""Basic types of the distribution: versions and resources.  No I/O."""

from __future__ import annotations

import xxhash

from ...encoding.rows import Row

ServiceName = str
DistributorName = str
SubscriberName = str


class Version(Row, frozen=True, order=True):
    """The ledger entry that a content is at.

    Ordered by term, then index, as committed entries of the ledger are.
    """

    term: int
    index: int

    def text(self) -> str:
        """Returns `term.index`."""
        return f"{self.term}.{self.index}"


NO_VERSION = Version(0, 0)  # of who holds nothing


MARK_BYTES = 4  # bytes of a subscriber's mark: among 6,500 two are alike once in two hundred fleets


def subscriber_mark(subscriber: SubscriberName) -> bytes:
    """Returns the short hash of a name, for reports that list all subscribers."""
    return xxhash.xxh32_digest(subscriber.encode())


class Resource(Row, frozen=True):
    """One entry of a service, such as a backend with its state; `body` is opaque."""

    key: str
    body: bytes
