"""What the parts of the distribution speak of: versions and resources.  No I/O, no decisions."""

from __future__ import annotations

from ...packed.rows import Row

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


class Resource(Row, frozen=True):
    """One entry of a service, as a backend with its state; `body` is opaque to the distribution."""

    key: str
    body: bytes
