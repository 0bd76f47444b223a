"""What every member of a fleet has: the parts of the book, and its works."""
from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ...directives.fleet import FleetText
from ...log import Log
from ...net.loop import Loop
from ..book import Book
from ..hours import Hours, HoursWork
from ..members.roster import Roster
from ..ports import Acts, BookPart, Work
from ..terms import Lease
from .leasing import wall
from .notes import Notes


@dataclass(slots=True)
class Place:
    """What a work may know of the process it is in."""
    loop: Loop
    log: Log
    text: FleetText
    voters: Callable[[], Collection[str]]
    lease: Callable[[int], Lease | None]


@dataclass(slots=True)
class Assembly:
    book: Book
    works: list[Work] = field(default_factory=list)
    acts: Acts | None = None


def parts() -> list[BookPart]:
    """In a fixed order; each only knows those before it."""
    return [Notes(), Roster(), Hours()]


def assembled(place: Place) -> Assembly:
    book = Book(parts())
    hours = HoursWork(book.parts["hours"], place.text.me, wall, place.voters)
    return Assembly(book, [hours])
