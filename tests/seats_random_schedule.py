"""Seeded random schedules over a SimulatedFleet: clients with faults of all kinds, then a quiet period."""

import msgspec

from seats_simulated_fleet import EPOCH, LEASE_TICKS, SECOND, SimulatedFleet


def run_random_schedule(rng, terms, seconds=60, member_count=4, after=None):
    """Runs one seeded schedule and a quiet period; raises AssertionError if an invariant is violated."""
    fleet = SimulatedFleet(rng, [f"m{n}" for n in range(member_count)], terms)
    request_intervals = [rng.choice((50, 300, 2000)) for _ in range(member_count)]

    def send_requests(index):
        if not fleet.quiet:
            fleet.members[f"m{index}"].send_rpc(rng.choice(("ta", "ta", "tb", "")), f"u{rng.randrange(4)}")
            fleet.after(int(rng.expovariate(1 / request_intervals[index])) + 1, lambda: send_requests(index))

    def inject_fault():
        if fleet.quiet:
            return
        member, kind = rng.choice(list(fleet.members.values())), rng.random()
        if kind < 0.25:
            member.cut_off = True
            fleet.after(
                rng.randint(0, 3 * LEASE_TICKS),
                lambda: (setattr(member, "cut_off", False), member.apply_log()),
            )
        elif kind < 0.5:
            member.paused = True
            fleet.after(
                rng.randint(0, 3 * LEASE_TICKS),
                lambda: (setattr(member, "paused", False), member.apply_log()),
            )
        elif kind < 0.65 and member.alive:
            member.alive = False
            fleet.after(rng.randint(0, 2 * LEASE_TICKS), lambda: fleet.start(member.name))
        elif kind < 0.8:
            rng.choice(fleet.servers).restart()
        elif kind < 0.9:
            until = rng.choice((0, 0, EPOCH + fleet.true_time + rng.randint(0, 8 * LEASE_TICKS)))
            fleet.change_contract(
                *(
                    msgspec.structs.replace(
                        term, seats=max(1, term.seats * rng.randint(1, 5) // 3), keep=(), until=until
                    )
                    for term in terms
                )
            )
        fleet.after(int(rng.expovariate(1 / (2 * SECOND))), inject_fault)

    for index in range(member_count):
        send_requests(index)
    fleet.after(LEASE_TICKS, inject_fault)
    fleet.run(seconds * SECOND)
    fleet.quiet = True
    fleet.run(fleet.true_time + 12 * LEASE_TICKS)
    check_no_seat_leaked(fleet)
    return fleet


def check_no_seat_leaked(fleet):
    """Checks after the quiet period that no seat is in use, and each is free or held by a living member."""
    living = {(member.name, member.incarnation) for member in fleet.members.values()}
    for feature, feature_seats in fleet.committed.parts["seats"].features.items():
        assert not fleet.running_uses(feature)
        held = [number for share in feature_seats.shares.values() for number in share.seats]
        assert sorted(held + feature_seats.free) == list(range(len(feature_seats.counters)))
        assert {(share.name, share.incarnation) for share in feature_seats.shares.values()} <= living, (
            "held by an incarnation that has ended"
        )
        assert not feature_seats.excess() and not any(
            share.debt for share in feature_seats.shares.values()
        ), "owed seats were never returned"
        assert feature_seats.terms.seats - feature_seats.held() == sum(
            feature_seats.grantable(pool) for pool in feature_seats.terms.pools()
        )
    for member in fleet.members.values():
        pools = member.work.allocator.pools.values()
        assert not any(pool.assignments or pool.returning for pool in pools), "seats were never released"
        assert member.state_machine.digest() == fleet.committed.digest()
