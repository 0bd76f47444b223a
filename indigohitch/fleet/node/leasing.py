"""The lease of this member, and while it leads those of all: drives a Holder and a Giver (members/leases)."""
from __future__ import annotations

import time
from collections.abc import Callable, Mapping

from ..book import Book
from ..members.leases import Answer, Giver, Holder, ReadFirst
from ..members.words import NotRenewed, Renew, Renewed
from ..terms import Lease


def wall() -> int:
    """This machine's wall clock, tenths of a ms of Unix time."""
    return time.time_ns() // 100_000


class Leasing:
    """`read(done)`: one confirmed by a majority, `done(index or None)`.  `say(name, word)`: to a member, this
    one too.  `over(why)`: this incarnation never gets a lease again."""

    def __init__(self, me: str, span: int, drift: float, book: Book, clock, read: Callable, say: Callable,
                 over: Callable[[str], None], reports: Callable[[int], Mapping[str, bytes]],
                 acts: Callable[[], int]) -> None:
        self.me, self.book, self.clock, self.read, self.say, self.over = me, book, clock, read, say, over
        self.reports, self.acts = reports, acts
        roster = book.parts.get("members")
        self.roster = roster
        self.holder = Holder(span, drift)
        self.giver = Giver(span, drift, roster.unfit if roster is not None else lambda name, number: "")
        self.renewals: dict[str, tuple[int, Renew]] = {}        # by name: when it came, the last of each

    def lease(self, now: int) -> Lease | None:
        """None also once the book here says that this incarnation may not act."""
        if self.roster is not None and self.roster.unfit(self.me, self.holder.incarnation):
            return None
        return self.holder.lease(now)

    # ---- the member's side -------------------------------------------------------------------------

    def ask(self, now: int, leader: str) -> None:
        """A renewal to the leader, if one is due."""
        number = self.holder.ask(now) if leader else None
        if number is None:
            return
        at, digest = self.digest()
        self.say(leader, Renew(number, self.holder.incarnation, self.book.index, at, digest, wall(),
                               self.acts(), self.reports(now)))

    def digest(self) -> tuple[int, bytes]:
        """Of this member's book at the last point of comparing."""
        digests = self.roster.digests if self.roster is not None else {}
        return max(digests.items(), default=(0, b""))

    def answered(self, word: Renewed | NotRenewed) -> None:
        if isinstance(word, Renewed):
            self.holder.heard(word)
        elif word.over and word.incarnation == self.holder.incarnation:
            self.holder.drop()
            self.over(word.why)

    # ---- the leader's ------------------------------------------------------------------------------

    def came(self, name: str, word: Renew) -> None:
        now = self.clock.now()
        if self.giver.term:
            self.renewals[name] = now, word
        self.carry(self.giver.came(now, name, word))

    def carry(self, out: list) -> None:
        for one in out:
            match one:
                case ReadFirst(number):
                    self.read(lambda index, number=number: self.carry(
                        self.giver.confirmed(self.clock.now(), number, index is not None)))
                case Answer(to, word):
                    self.say(to, word)

    def became(self, leads: bool, term: int) -> None:
        if leads:
            self.giver.elected(self.clock.now(), term)
        else:
            self.giver.deposed()
            self.renewals.clear()

    def told(self, now: int) -> dict[str, dict[str, bytes]]:
        """At the leader: by work the reports of the members whose lease it has given and may still run."""
        found: dict[str, dict[str, bytes]] = {}
        for name, (_, renew) in sorted(self.renewals.items()):
            if self.giver.until.get((name, renew.incarnation), 0) > now:
                for work, report in renew.reports.items():
                    found.setdefault(work, {})[name] = report
        return found
