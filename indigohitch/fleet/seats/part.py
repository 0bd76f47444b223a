"""The state machine's part `seats`: contracts, and who holds which seats.  Deterministic, no I/O.

What holds after every entry (tests/test_seats_part.py):
- a seat has at most one holder, and its counter grows with every change of holder;
- nothing is granted while the pool or the whole feature holds as much as is contracted: after a cut the seats
  held only become fewer until they fit;
- only the holder's return, or the word that its incarnation is gone, frees a seat."""

from __future__ import annotations

from bisect import insort

import msgspec

from ...errors import InvalidDataError, InvalidRequestError
from ..interfaces import EntryContext
from ..membership.roster import announce_change
from .contract import Contract, FeatureRow, Grant, Recall, Return, SeatsRow, Share, Terms


class Feature:
    def __init__(self, terms: Terms) -> None:
        self.take(terms)
        self.counters: list[int] = []
        self.free: list[int] = []  # numbers, ascending
        self.shares: dict[tuple[str, str, int], Share] = {}  # by pool, name, incarnation

    def take(self, terms: Terms) -> None:
        self.terms, self.pools = terms, terms.pools()

    def held(self, pool: str | None = None) -> int:
        return sum(len(s.seats) for s in self.shares.values() if pool is None or s.pool == pool)

    def by_member(self) -> dict[str, int]:
        """Seats held, of all pools and incarnations."""
        found: dict[str, int] = {}
        for share in self.shares.values():
            found[share.name] = found.get(share.name, 0) + len(share.seats)
        return found

    def over(self) -> int:
        """Seats held beyond the contract: it is in force once this is 0."""
        return max(0, self.held() - self.terms.seats)

    def room(self, pool: str) -> int:
        """Seats that may be granted of it now."""
        limit = self.pools.get(pool, 0)
        return max(0, min(limit - self.held(pool), self.terms.seats - self.held(), len(self.free)))

    def grow(self) -> None:
        for number in range(len(self.counters), self.terms.seats):
            self.counters.append(0)
            self.free.append(number)

    def drop(self, share: Share, number: int) -> None:
        share.seats.remove(number)
        share.debt = max(0, share.debt - 1)
        self.counters[number] += 1
        insort(self.free, number)
        if not share.seats:
            del self.shares[share.pool, share.name, share.incarnation]

    def settle(self, pool: str, due: int) -> None:
        """Debts, so that what stays is what the contract has: always of the member that keeps most, the first
        by name among equals, so that a cut levels shares; and back in the other order when it has more."""
        shares = sorted(
            (s for s in self.shares.values() if s.pool == pool), key=lambda s: (s.name, s.incarnation)
        )
        excess = sum(s.net for s in shares) - self.pools.get(pool, 0)
        while excess > 0:
            share = max(shares, key=lambda s: s.net)
            share.due = share.due if share.debt else due
            share.debt += 1
            excess -= 1
        while excess < 0 and any(s.debt for s in shares):
            share = min((s for s in shares if s.debt), key=lambda s: s.net)
            share.debt -= 1
            excess += 1


class Seats:
    """StateMachinePart."""

    name = "seats"
    kinds = {"contract": Contract, "grant": Grant, "recall": Recall, "return": Return}

    def __init__(self) -> None:
        self.state_machine = None
        self.edition = 0
        self.features: dict[str, Feature] = {}
        self.gone: dict[str, int] = {}  # by member: the last incarnation that surely holds nothing

    def apply(self, at: EntryContext, word: str, body) -> object:
        match word:
            case "contract":
                return self.on_contract(at, body)
            case "grant":
                return self.on_grant(at, body)
            case "recall":
                return self.on_recall(at, body)
            case "return":
                return self.on_return(at, body)
        raise ValueError(f"no word of this part: {word}")

    def share(self, feature: str, pool: str, name: str, incarnation: int) -> Share | None:
        found = self.features.get(feature)
        return found.shares.get((pool, name, incarnation)) if found is not None else None

    # ---- entries -----------------------------------------------------------------------------------

    def on_contract(self, at: EntryContext, body: Contract) -> int:
        """Returns the edition that stands.  Raises Unfit for an older one, and for another of the same
        number."""
        named = {terms.feature: terms for terms in body.terms}
        if body.edition < self.edition:
            raise InvalidRequestError(f"edition {body.edition} of the contracts is older than {self.edition}")
        if body.edition == self.edition:
            if named != {f.terms.feature: f.terms for f in self.features.values() if f.terms.seats}:
                raise InvalidRequestError(
                    f"another edition {body.edition} of the contracts stands",
                    remedy="give the changed file a higher edition",
                )
            return self.edition
        bad = [t.feature for t in body.terms if t.seats < 1 or t.pools()[""] < 0]
        if bad or len(named) < len(body.terms):
            raise InvalidRequestError(f"contracts that can't be: {', '.join(bad) or 'one feature twice'}")
        self.edition = body.edition
        cut = any(
            f.terms.seats > (named[name].seats if name in named else 0) for name, f in self.features.items()
        )
        announce_change(self.state_machine, at, "seats", hard=cut)
        for feature in sorted(named.keys() | self.features.keys()):
            found = self.features.get(feature)
            if found is None:
                found = self.features[feature] = Feature(named[feature])
            # A feature that is not named any more: nothing is contracted, what is held is drained.
            found.take(named.get(feature) or Terms(feature, 0, found.terms.kind, drain=found.terms.drain))
            found.grow()
            for pool in sorted({s.pool for s in found.shares.values()}):
                found.settle(pool, at.time + found.terms.drain)
        return self.edition

    def on_grant(self, at: EntryContext, body: Grant) -> list[tuple[int, int]]:
        found = self.found(body.feature)
        if body.incarnation <= self.gone.get(body.member, 0):
            raise InvalidRequestError(f"{body.member} {body.incarnation} is gone")
        if body.count < 1 or body.count > found.room(body.pool):
            raise InvalidRequestError(
                f"{body.count} seats of {body.feature}: {found.room(body.pool)} can be granted"
            )
        share = found.shares.setdefault(
            (body.pool, body.member, body.incarnation), Share(body.pool, body.member, body.incarnation, [])
        )
        given, found.free = found.free[: body.count], found.free[body.count :]
        for number in given:
            found.counters[number] += 1
            insort(share.seats, number)
        return [(number, found.counters[number]) for number in given]

    def on_recall(self, at: EntryContext, body: Recall) -> int:
        """Returns the whole debt."""
        found = self.found(body.feature)
        share = found.shares.get((body.pool, body.member, body.incarnation))
        if share is None or not 0 < body.count <= share.net:
            raise InvalidRequestError(
                f"{body.member} {body.incarnation} has not {body.count} seats of {body.feature}"
            )
        if not share.debt:
            share.due = at.time + found.terms.drain
        share.debt += body.count
        return share.debt

    def on_return(self, at: EntryContext, body: Return) -> int:
        """Returns how many were taken; those not held any more are passed over, so that it may come twice."""
        found, taken = self.found(body.feature), 0
        share = found.shares.get((body.pool, at.proposer, at.incarnation))
        for number, counter in body.seats if share is not None else ():
            if number in share.seats and found.counters[number] == counter:
                found.drop(share, number)
                taken += 1
        return taken

    def found(self, feature: str) -> Feature:
        if feature not in self.features:
            raise InvalidRequestError(f"no contract on {feature}")
        return self.features[feature]

    def on_member_lease_expired(self, at: EntryContext, name: str, incarnation: int) -> None:
        self.gone[name] = max(incarnation, self.gone.get(name, 0))
        for feature in self.features.values():
            for share in [
                s for s in feature.shares.values() if s.name == name and s.incarnation == incarnation
            ]:
                for number in list(share.seats):
                    feature.drop(share, number)

    # ---- as a whole --------------------------------------------------------------------------------

    def row(self) -> SeatsRow:
        return SeatsRow(
            self.edition,
            [
                FeatureRow(
                    f.terms,
                    f.counters,
                    sorted(f.shares.values(), key=lambda s: (s.pool, s.name, s.incarnation)),
                )
                for _, f in sorted(self.features.items())
            ],
            sorted(self.gone.items()),
        )

    def restore(self, row: bytes) -> None:
        try:
            found = msgspec.msgpack.decode(row, type=SeatsRow)
        except msgspec.MsgspecError as bad:
            raise InvalidDataError(f"not the seats of a book: {bad}") from None
        self.edition, self.gone, self.features = found.edition, dict(found.gone), {}
        for each in found.features:
            feature = self.features[each.terms.feature] = Feature(each.terms)
            feature.counters = list(each.counters)
            feature.shares = {(s.pool, s.name, s.incarnation): s for s in each.shares}
            taken = {number for s in each.shares for number in s.seats}
            feature.free = [n for n in range(len(feature.counters)) if n not in taken]
