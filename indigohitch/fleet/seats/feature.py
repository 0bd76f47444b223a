"""The seats of one feature: numbers, counters and shares.  Deterministic, no I/O."""

from __future__ import annotations

from bisect import insort

from .contract import Share, Terms


class Feature:
    """The seats of one feature."""

    def __init__(self, terms: Terms) -> None:
        self.set_terms(terms)
        self.counters: list[int] = []  # by seat number: how often the seat was granted or freed
        self.free: list[int] = []  # seat numbers, ascending
        self.shares: dict[tuple[str, str, int], Share] = {}  # by pool, member and incarnation

    def set_terms(self, terms: Terms) -> None:
        """Replaces the terms by those of a new contract."""
        self.terms = terms
        self.pools = terms.pools()

    def held(self, pool: str | None = None) -> int:
        """Returns the number of seats held, of one pool or of all."""
        return sum(len(share.seats) for share in self.shares.values() if pool is None or share.pool == pool)

    def by_member(self) -> dict[str, int]:
        """Returns the number of seats held by each member, over all pools and incarnations."""
        counts: dict[str, int] = {}
        for share in self.shares.values():
            counts[share.name] = counts.get(share.name, 0) + len(share.seats)
        return counts

    def excess(self) -> int:
        """Returns how many more seats are held than contracted; a cut has taken effect once this is 0."""
        return max(0, self.held() - self.terms.seats)

    def grantable(self, pool: str) -> int:
        """Returns how many seats of a pool may be granted now."""
        limit = self.pools.get(pool, 0)
        return max(0, min(limit - self.held(pool), self.terms.seats - self.held(), len(self.free)))

    def add_contracted_seats(self) -> None:
        """Adds free seats until there are as many as contracted."""
        for number in range(len(self.counters), self.terms.seats):
            self.counters.append(0)
            self.free.append(number)

    def free_seat(self, share: Share, number: int) -> None:
        """Frees one seat of a share."""
        share.seats.remove(number)
        share.debt = max(0, share.debt - 1)
        self.counters[number] += 1
        insort(self.free, number)
        if not share.seats:
            del self.shares[share.pool, share.name, share.incarnation]

    def set_debts(self, pool: str, drain_ends_at: int) -> None:
        """Sets the debts of a pool, so that the seats not owed fit the contract.

        Each further seat is owed by the member with most seats not owed, the first by name among equals.
        Debts are reduced first at the member with fewest seats not owed.
        """
        shares = sorted(
            (share for share in self.shares.values() if share.pool == pool),
            key=lambda share: (share.name, share.incarnation),
        )
        excess = sum(share.net for share in shares) - self.pools.get(pool, 0)
        while excess > 0:
            share = max(shares, key=lambda share: share.net)
            share.drain_ends_at = share.drain_ends_at if share.debt else drain_ends_at
            share.debt += 1
            excess -= 1
        while excess < 0 and any(share.debt for share in shares):
            share = min((share for share in shares if share.debt), key=lambda share: share.net)
            share.debt -= 1
            excess += 1
