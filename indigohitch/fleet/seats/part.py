"""The replicated state of seats: contracts and the holders of seats.  Deterministic, no I/O.

Invariants after every entry (tests/test_seats_part.py):
- A seat has at most one holder, and its counter increases with every change of holder.
- No seat is granted while members hold all contracted seats of the pool or of the feature.  So after a
  contract was cut, the number of seats held only decreases until it fits the contract.
- Only a return by the holder, or the end of the holder's incarnation, frees a seat.
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
    """The state machine's part `seats`, which holds the contracts and the shares of members."""

    name = "seats"
    kinds = {"contract": Contract, "grant": Grant, "recall": Recall, "return": Return}

    def __init__(self) -> None:
        self.state_machine = None
        self.edition = 0
        self.features: dict[str, Feature] = {}
        self.ended_incarnations: dict[str, int] = {}  # by member: the last one that has certainly ended

    def apply(self, context: EntryContext, kind: str, body: Contract | Grant | Recall | Return) -> object:
        """Applies an entry and returns its result; raises InvalidRequestError if the entry is invalid."""
        match kind:
            case "contract":
                return self.on_contract(context, body)
            case "grant":
                return self.on_grant(context, body)
            case "recall":
                return self.on_recall(context, body)
            case "return":
                return self.on_return(context, body)
        raise ValueError(f"the part seats has no entries of kind {kind}")

    def share(self, feature: str, pool: str, name: str, incarnation: int) -> Share | None:
        """Returns the share of a pool that a member holds; None if it holds none."""
        feature_seats = self.features.get(feature)
        return feature_seats.shares.get((pool, name, incarnation)) if feature_seats is not None else None

    # ---- entries -----------------------------------------------------------------------------------

    def on_contract(self, context: EntryContext, body: Contract) -> int:
        """Replaces the contracts; returns the number of the edition in force.

        Raises InvalidRequestError for an older edition, and for one with the same number but other contracts.
        """
        terms_by_feature = {terms.feature: terms for terms in body.terms}
        if body.edition < self.edition:
            raise InvalidRequestError(f"edition {body.edition} of the contracts is older than {self.edition}")
        if body.edition == self.edition:
            if terms_by_feature != {
                f.terms.feature: f.terms for f in self.features.values() if f.terms.seats
            }:
                raise InvalidRequestError(
                    f"another edition {body.edition} of the contracts stands",
                    remedy="give the changed file a higher edition",
                )
            return self.edition
        invalid = [t.feature for t in body.terms if t.seats < 1 or t.pools()[""] < 0]
        if invalid or len(terms_by_feature) < len(body.terms):
            raise InvalidRequestError(f"contracts that can't be: {', '.join(invalid) or 'one feature twice'}")
        self.edition = body.edition
        reduced = any(
            f.terms.seats > (terms_by_feature[name].seats if name in terms_by_feature else 0)
            for name, f in self.features.items()
        )
        announce_change(self.state_machine, context, "seats", hard=reduced)
        for feature in sorted(terms_by_feature.keys() | self.features.keys()):
            feature_seats = self.features.get(feature)
            if feature_seats is None:
                feature_seats = Feature(terms_by_feature[feature])
                self.features[feature] = feature_seats
            # A feature that is not listed any more has no contracted seats; the seats held are drained.
            feature_seats.set_terms(
                terms_by_feature.get(feature)
                or Terms(feature, 0, feature_seats.terms.kind, drain=feature_seats.terms.drain)
            )
            feature_seats.add_contracted_seats()
            for pool in sorted({s.pool for s in feature_seats.shares.values()}):
                feature_seats.set_debts(pool, context.time + feature_seats.terms.drain)
        return self.edition

    def on_grant(self, context: EntryContext, body: Grant) -> list[tuple[int, int]]:
        """Grants seats and returns (number, counter) of each.

        Raises InvalidRequestError for a member that has ended, or for more seats than are free.
        """
        feature_seats = self.contracted_feature(body.feature)
        if body.incarnation <= self.ended_incarnations.get(body.member, 0):
            raise InvalidRequestError(f"{body.member} {body.incarnation} is gone")
        if body.count < 1 or body.count > feature_seats.grantable(body.pool):
            raise InvalidRequestError(
                f"{body.count} seats of {body.feature}: {feature_seats.grantable(body.pool)} can be granted"
            )
        share = feature_seats.shares.setdefault(
            (body.pool, body.member, body.incarnation), Share(body.pool, body.member, body.incarnation, [])
        )
        granted = feature_seats.free[: body.count]
        feature_seats.free = feature_seats.free[body.count :]
        for number in granted:
            feature_seats.counters[number] += 1
            insort(share.seats, number)
        return [(number, feature_seats.counters[number]) for number in granted]

    def on_recall(self, context: EntryContext, body: Recall) -> int:
        """Adds to the debt of a member and returns the new debt.

        Raises InvalidRequestError if the member holds fewer seats that it does not owe yet.
        """
        feature_seats = self.contracted_feature(body.feature)
        share = feature_seats.shares.get((body.pool, body.member, body.incarnation))
        if share is None or not 0 < body.count <= share.net:
            raise InvalidRequestError(
                f"{body.member} {body.incarnation} has not {body.count} seats of {body.feature}"
            )
        if not share.debt:
            share.drain_ends_at = context.time + feature_seats.terms.drain
        share.debt += body.count
        return share.debt

    def on_return(self, context: EntryContext, body: Return) -> int:
        """Frees the returned seats and returns their number.

        Seats that the proposer no longer holds are skipped, so that a return may be repeated.
        """
        feature_seats = self.contracted_feature(body.feature)
        freed = 0
        share = feature_seats.shares.get((body.pool, context.proposer, context.incarnation))
        for number, counter in body.seats if share is not None else ():
            if number in share.seats and feature_seats.counters[number] == counter:
                feature_seats.free_seat(share, number)
                freed += 1
        return freed

    def contracted_feature(self, feature: str) -> Feature:
        """Returns a feature; raises InvalidRequestError if it has no contract."""
        if feature not in self.features:
            raise InvalidRequestError(f"no contract on {feature}")
        return self.features[feature]

    def on_member_lease_expired(self, context: EntryContext, name: str, incarnation: int) -> None:
        """Frees the seats of an incarnation that has certainly ended."""
        self.ended_incarnations[name] = max(incarnation, self.ended_incarnations.get(name, 0))
        for feature in self.features.values():
            for share in [
                s for s in feature.shares.values() if s.name == name and s.incarnation == incarnation
            ]:
                for number in list(share.seats):
                    feature.free_seat(share, number)

    # ---- snapshots ---------------------------------------------------------------------------------

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
            sorted(self.ended_incarnations.items()),
        )

    def restore(self, row: bytes) -> None:
        """Replaces the state by that of a snapshot; raises InvalidDataError if it can't be decoded."""
        try:
            snapshot = msgspec.msgpack.decode(row, type=SeatsRow)
        except msgspec.MsgspecError as error:
            raise InvalidDataError(
                f"the seats in the state machine snapshot can't be decoded: {error}"
            ) from None
        self.edition = snapshot.edition
        self.ended_incarnations = dict(snapshot.ended_incarnations)
        self.features = {}
        for feature_row in snapshot.features:
            feature = Feature(feature_row.terms)
            self.features[feature_row.terms.feature] = feature
            feature.counters = list(feature_row.counters)
            feature.shares = {(s.pool, s.name, s.incarnation): s for s in feature_row.shares}
            held = {number for s in feature_row.shares for number in s.seats}
            feature.free = [n for n in range(len(feature.counters)) if n not in held]
