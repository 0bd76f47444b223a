"""What every member of a fleet has: the parts of the book, and its works."""
from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ...directives.fleet import FleetText
from ...log import Log
from ...net.loop import Loop
from ..batches.inside import work_of as batches_of
from ..batches.part import Batches
from ..book import Book
from ..hours import Hours, HoursWork
from ..members.roster import Roster
from ..members.work import Membership
from ..ports import Acts, BookPart, Work
from ..terms import Lease, Stamp
from .belonging import wall
from .notes import Notes


@dataclass(slots=True)
class Place:
    """What a work may know of the process it is in."""
    loop: Loop
    log: Log
    text: FleetText
    voters: Callable[[], Collection[str]]
    lease: Callable[[int], Lease | None]
    token: Callable[[], int]            # 62 bits of chance


@dataclass(slots=True)
class Assembly:
    book: Book
    membership: Membership
    works: list[Work] = field(default_factory=list)     # the membership first
    acts: Acts | None = None
    felt: Callable[[int, str, int], None] = lambda now, rpc, latency: None     # an RPC was answered here


class Numbered:
    """Acts, stamped by a lease and counted; the audit keeps them."""

    def __init__(self, me: str, book: Book, lease: Callable[[int], Lease | None]) -> None:
        self.me, self.book, self.lease = me, book, lease
        self.incarnation = self.number = 0

    def stamp(self, now: int, kind: str, about: bytes) -> Stamp | None:
        if (lease := self.lease(now)) is None:
            return None
        if lease.incarnation != self.incarnation:
            self.incarnation, self.number = lease.incarnation, 0
        self.number += 1
        return Stamp(self.me, self.incarnation, self.book.term, self.book.index, self.number)


def parts() -> list[BookPart]:
    """In a fixed order; each only knows those before it."""
    return [Notes(), Roster(), Hours(), Batches()]


def assembled(place: Place) -> Assembly:
    book, text = Book(parts()), place.text
    membership = Membership(text.me, text.members[text.me].votes, book.parts["members"], text.waits["lease"],
                            text.drift, place.token)
    hours = HoursWork(book.parts["hours"], text.me, wall, place.voters)
    acts = Numbered(text.me, book, place.lease)
    batches = batches_of(place.loop, place.log, text, book.parts["batches"], acts, hours.time)
    return Assembly(book, membership, [membership, hours, batches], acts, batches.felt)
