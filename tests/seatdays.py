"""Seeded schedules over a `seatworld.World`: clients, harm of all kinds, then quiet."""

import msgspec

from seatworld import EPOCH, SECOND, SPAN, World


def schedule(rng, terms, seconds=60, members=4, after=None):
    """One seeded schedule, then quiet.  Raises AssertionError where a promise broke."""
    world = World(rng, [f"m{n}" for n in range(members)], terms)
    rates = [rng.choice((50, 300, 2000)) for _ in range(members)]

    def ask(n):
        if not world.quiet:
            world.members[f"m{n}"].rpc(rng.choice(("ta", "ta", "tb", "")), f"u{rng.randrange(4)}")
            world.after(int(rng.expovariate(1 / rates[n])) + 1, lambda: ask(n))

    def harm():
        if world.quiet:
            return
        member, kind = rng.choice(list(world.members.values())), rng.random()
        if kind < 0.25:
            member.cut = True
            world.after(rng.randint(0, 3 * SPAN), lambda: (setattr(member, "cut", False), member.hear()))
        elif kind < 0.5:
            member.stopped = True
            world.after(rng.randint(0, 3 * SPAN), lambda: (setattr(member, "stopped", False), member.hear()))
        elif kind < 0.65 and member.alive:
            member.alive = False
            world.after(rng.randint(0, 2 * SPAN), lambda: world.start(member.name))
        elif kind < 0.8:
            rng.choice(world.servers).restart()
        elif kind < 0.9:
            until = rng.choice((0, 0, EPOCH + world.t + rng.randint(0, 8 * SPAN)))
            world.change(
                *(
                    msgspec.structs.replace(
                        t, seats=max(1, t.seats * rng.randint(1, 5) // 3), keep=(), until=until
                    )
                    for t in terms
                )
            )
        world.after(int(rng.expovariate(1 / (2 * SECOND))), harm)

    for n in range(members):
        ask(n)
    world.after(SPAN, harm)
    world.run(seconds * SECOND)
    world.quiet = True
    world.run(world.t + 12 * SPAN)
    leaked(world)
    return world


def leaked(world):
    """After quiet: nothing runs, nothing is given, every seat is free or with a member that lives."""
    living = {(m.name, m.incarnation) for m in world.members.values()}
    for feature, found in world.true.parts["seats"].features.items():
        assert not world.running(feature)
        held = [n for s in found.shares.values() for n in s.seats]
        assert sorted(held + found.free) == list(range(len(found.counters)))
        assert {(s.name, s.incarnation) for s in found.shares.values()} <= living, "with one that is gone"
        assert not found.over() and not any(s.debt for s in found.shares.values()), "never returned"
        assert found.terms.seats - found.held() == sum(found.room(p) for p in found.terms.pools())
    for member in world.members.values():
        pools = member.work.allocator.pools.values()
        assert not any(pool.assignments or pool.returning for pool in pools), "given for good"
        assert member.state_machine.digest() == world.true.digest()
