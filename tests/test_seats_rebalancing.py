"""Compares the recalls of a round with a direct definition: one seat at a time from the member with most."""

import random

from indigohitch.fleet.seats.rebalancing import (
    DEAD_BAND_SEATS,
    RECALL_BUDGET_DIVISOR,
    MemberDemand,
    fair_shares,
    rebalance,
)


def recalls_one_by_one(size, returning, members, fair, net):
    deficits = [target - held for target, held in zip(fair, net) if target > held]
    starved = any(held == 0 < target for target, held in zip(fair, net))
    remaining, recalled = list(net), [0] * len(members)

    def idle(index):
        return (
            remaining[index]
            - fair[index]
            - (DEAD_BAND_SEATS if members[index].holds_spares and not starved else 0)
        )

    for _ in range(max(0, min(sum(deficits) - returning, max(1, size // RECALL_BUDGET_DIVISOR)))):
        index = max(range(len(members)), key=idle)
        if idle(index) > 0:
            remaining[index] -= 1
            recalled[index] += 1
    return {member.name: count for member, count in zip(members, recalled) if count}


def random_members(rng):
    return [
        MemberDemand(f"m{number:02}", 1, rng.randrange(9), rng.randrange(9), rng.randrange(4), holds_spares)
        for number, holds_spares in enumerate(rng.choices([True, True, False], k=rng.randrange(1, 12)))
    ]


def test_recalls_equal_those_taken_one_by_one_from_the_member_with_most():
    rng, rounds_with_recalls = random.Random(3), 0
    for _ in range(3_000):
        members, size, returning = random_members(rng), rng.randrange(60), rng.randrange(4)
        fair = fair_shares(size, [member.needed for member in members]).counts
        net = [member.net for member in members]
        moves = rebalance(
            size, 0, returning, members
        ).recalls  # no seat is free, so nothing is granted before
        recalled = {move.member.name: move.count for move in moves}
        assert recalled == recalls_one_by_one(size, returning, members, fair, net)
        rounds_with_recalls += bool(recalled)
    assert rounds_with_recalls > 500
