"""The part `seats` of the replicated state machine: contracts and holders.  Deterministic, no I/O.

Invariants after every entry (tests/test_seats_part.py):
- a seat has at most one holder, and its counter grows with every change of holder;
- nothing is granted while the pool or the whole feature holds as much as is contracted: after a cut the seats
held only become fewer until they fit;
- only the holder's return, or the end of its incarnation, frees a seat.
"""

from __future__ import annotations

from bisect import insort

import msgspec

from ...errors import InvalidDataError, InvalidRequestError
from ..interfaces import EntryContext
from ..membership.roster import announce_change
from .contract import Contract, FeatureRow, Grant, Recall, Return, SeatsRow, Share, Terms
from .feature import Feature


class Seats:
    """The state machine's part `seats`."""

    name = "seats"
    kinds = {"contract": Contract, "grant": Grant, "recall": Recall, "return": Return}

    def __init__(self) -> None:
        self.state_machine = None
        self.edition = 0
        self.features: dict[str, Feature] = {}
        self.gone: dict[str, int] = {}  # by member: the last incarnation that surely holds nothing

    def apply(self, context: EntryContext, kind: str, body: Contract | Grant | Recall | Return) -> object:
        """Applies an entry; raises InvalidRequestError."""
        match kind:
            case "contract":
                return self.on_contract(context, body)
            case "grant":
                return self.on_grant(context, body)
            case "recall":
                return self.on_recall(context, body)
            case "return":
                return self.on_return(context, body)
        raise ValueError(f"no word of this part: {kind}")

    def share(self, feature: str, pool: str, name: str, incarnation: int) -> Share | None:
        """Returns a member's share of a pool."""
        found = self.features.get(feature)
        return found.shares.get((pool, name, incarnation)) if found is not None else None

    # ---- entries -----------------------------------------------------------------------------------

    def on_contract(self, context: EntryContext, body: Contract) -> int:
        """Returns the edition in force.

        Raises InvalidRequestError for an older one, and for a different one of the same number.
        """
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
        announce_change(self.state_machine, context, "seats", hard=cut)
        for feature in sorted(named.keys() | self.features.keys()):
            found = self.features.get(feature)
            if found is None:
                found = Feature(named[feature])
                self.features[feature] = found
            # A feature that is not named any more: nothing is contracted, what is held is drained.
            found.take(named.get(feature) or Terms(feature, 0, found.terms.kind, drain=found.terms.drain))
            found.grow()
            for pool in sorted({s.pool for s in found.shares.values()}):
                found.settle(pool, context.time + found.terms.drain)
        return self.edition

    def on_grant(self, context: EntryContext, body: Grant) -> list[tuple[int, int]]:
        """Returns (number, counter) of the granted seats; raises InvalidRequestError."""
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
        given = found.free[: body.count]
        found.free = found.free[body.count :]
        for number in given:
            found.counters[number] += 1
            insort(share.seats, number)
        return [(number, found.counters[number]) for number in given]

    def on_recall(self, context: EntryContext, body: Recall) -> int:
        """Returns the whole debt; raises InvalidRequestError."""
        found = self.found(body.feature)
        share = found.shares.get((body.pool, body.member, body.incarnation))
        if share is None or not 0 < body.count <= share.net:
            raise InvalidRequestError(
                f"{body.member} {body.incarnation} has not {body.count} seats of {body.feature}"
            )
        if not share.debt:
            share.due = context.time + found.terms.drain
        share.debt += body.count
        return share.debt

    def on_return(self, context: EntryContext, body: Return) -> int:
        """Returns how many seats were freed.

        Seats no longer held are skipped, so that a return may be repeated.
        """
        found = self.found(body.feature)
        taken = 0
        share = found.shares.get((body.pool, context.proposer, context.incarnation))
        for number, counter in body.seats if share is not None else ():
            if number in share.seats and found.counters[number] == counter:
                found.drop(share, number)
                taken += 1
        return taken

    def found(self, feature: str) -> Feature:
        """Returns a feature; raises InvalidRequestError if it has no contract."""
        if feature not in self.features:
            raise InvalidRequestError(f"no contract on {feature}")
        return self.features[feature]

    def on_member_lease_expired(self, context: EntryContext, name: str, incarnation: int) -> None:
        """Frees the seats of an incarnation that has surely ended."""
        self.gone[name] = max(incarnation, self.gone.get(name, 0))
        for feature in self.features.values():
            for share in [
                s for s in feature.shares.values() if s.name == name and s.incarnation == incarnation
            ]:
                for number in list(share.seats):
                    feature.drop(share, number)

    # ---- as a whole --------------------------------------------------------------------------------

    def row(self) -> SeatsRow:
        """Returns the state for a snapshot."""
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
        """Replaces the state by that of a snapshot; raises InvalidDataError."""
        try:
            found = msgspec.msgpack.decode(row, type=SeatsRow)
        except msgspec.MsgspecError as bad:
            raise InvalidDataError(f"not the seats of a book: {bad}") from None
        self.edition = found.edition
        self.gone = dict(found.gone)
        self.features = {}
        for each in found.features:
            feature = Feature(each.terms)
            self.features[each.terms.feature] = feature
            feature.counters = list(each.counters)
            feature.shares = {(s.pool, s.name, s.incarnation): s for s in each.shares}
            taken = {number for s in each.shares for number in s.seats}
            feature.free = [n for n in range(len(feature.counters)) if n not in taken]
