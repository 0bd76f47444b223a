"""The seats of one feature: numbers, counters and shares.  Deterministic, no I/O."""

from __future__ import annotations

from bisect import insort

from .contract import Share, Terms


class Feature:
    """The seats of one feature."""

    def __init__(self, terms: Terms) -> None:
        self.take(terms)
        self.counters: list[int] = []
        self.free: list[int] = []  # numbers, ascending
        self.shares: dict[tuple[str, str, int], Share] = {}  # by pool, name, incarnation

    def take(self, terms: Terms) -> None:
        """Takes over the terms of a contract."""
        self.terms = terms
        self.pools = terms.pools()

    def held(self, pool: str | None = None) -> int:
        """Returns the seats held, of one pool or of all."""
        return sum(len(share.seats) for share in self.shares.values() if pool is None or share.pool == pool)

    def by_member(self) -> dict[str, int]:
        """Returns the seats held by member, of all pools and incarnations."""
        found: dict[str, int] = {}
        for share in self.shares.values():
            found[share.name] = found.get(share.name, 0) + len(share.seats)
        return found

    def over(self) -> int:
        """Returns the seats held beyond the contract, which is in force once this is 0."""
        return max(0, self.held() - self.terms.seats)

    def room(self, pool: str) -> int:
        """Returns how many seats of a pool may be granted now."""
        limit = self.pools.get(pool, 0)
        return max(0, min(limit - self.held(pool), self.terms.seats - self.held(), len(self.free)))

    def grow(self) -> None:
        """Adds seats up to the contract."""
        for number in range(len(self.counters), self.terms.seats):
            self.counters.append(0)
            self.free.append(number)

    def drop(self, share: Share, number: int) -> None:
        """Frees one seat of a share."""
        share.seats.remove(number)
        share.debt = max(0, share.debt - 1)
        self.counters[number] += 1
        insort(self.free, number)
        if not share.seats:
            del self.shares[share.pool, share.name, share.incarnation]

    def settle(self, pool: str, due: int) -> None:
        """Sets debts, so that what stays fits the contract.

        A debt goes to the member that keeps most, the first by name among equals; debts are reduced in the
        other order.
        """
        shares = sorted(
            (share for share in self.shares.values() if share.pool == pool),
            key=lambda share: (share.name, share.incarnation),
        )
        excess = sum(share.net for share in shares) - self.pools.get(pool, 0)
        while excess > 0:
            share = max(shares, key=lambda share: share.net)
            share.due = share.due if share.debt else due
            share.debt += 1
            excess -= 1
        while excess < 0 and any(share.debt for share in shares):
            share = min((share for share in shares if share.debt), key=lambda share: share.net)
            share.debt -= 1
            excess += 1
