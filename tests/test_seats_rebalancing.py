"""Which seats are called back, against the plain definition: one after the other from whoever has most."""

import random

from indigohitch.fleet.seats.rebalancing import BAND, BUDGET, MemberDemand, fair_parts, rebalance


def plainly_recalled(size, coming, members, due, have):
    lacking = [d - h for d, h in zip(due, have) if d > h]
    starved = any(h == 0 < d for d, h in zip(due, have))
    rest, taken = list(have), [0] * len(members)

    def idle(i):
        return rest[i] - due[i] - (BAND if members[i].stocks and not starved else 0)

    for _ in range(max(0, min(sum(lacking) - coming, max(1, size // BUDGET)))):
        i = max(range(len(members)), key=idle)
        if idle(i) > 0:
            rest[i] -= 1
            taken[i] += 1
    return {member.name: count for member, count in zip(members, taken) if count}


def drawn(chance):
    return [
        MemberDemand(
            f"m{number:02}", 1, chance.randrange(9), chance.randrange(9), chance.randrange(4), stocks
        )
        for number, stocks in enumerate(chance.choices([True, True, False], k=chance.randrange(1, 12)))
    ]


def test_recalls_are_those_of_the_plain_definition():
    chance, some = random.Random(3), 0
    for _ in range(3_000):
        members, size, coming = drawn(chance), chance.randrange(60), chance.randrange(4)
        due = fair_parts(size, [member.wanted for member in members]).parts
        have = [member.net for member in members]
        found = rebalance(size, 0, coming, members).recalls  # none is free: nothing is granted before
        recalled = {move.member.name: move.count for move in found}
        assert recalled == plainly_recalled(size, coming, members, due, have)
        some += bool(recalled)
    assert some > 500
