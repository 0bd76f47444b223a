"""Safety of leases: all orders of events of a small model with drifting clocks, also with guards removed."""

import itertools
from fractions import Fraction

import pytest

from indigohitch.fleet.membership import leases
from indigohitch.fleet.membership.leases import LeaseGrantor, LeaseHolder, SendReply, StartRead
from indigohitch.fleet.membership.messages import LeaseRenewed, RenewLease

SPAN = 8  # of a lease, in ticks
DRIFT = 0.25  # so large that its effect shows within a few ticks
CLOCK_RATES = Fraction(3, 4), Fraction(5, 4)
END_TICK = 19  # true time; leaves room for an election and a whole lease after the request
MAX_REQUESTS = 1


class LeaseModel:
    """A member `m` that holds a lease, the leader that it sends requests to, and one that is elected later.

    A majority confirms a read of the first leader only before it votes for the second; the confirmation may
    arrive late.
    """

    def __init__(self, clock_rates):
        self.clock_rates = clock_rates
        self.time = 0
        self.holder = LeaseHolder(SPAN, DRIFT)
        self.first_leader = LeaseGrantor(SPAN, DRIFT, lambda *_: "")
        self.second_leader = LeaseGrantor(SPAN, DRIFT, lambda *_: "")
        self.holder.start(1)
        self.first_leader.on_elected(0, 1)
        self.requests = []
        self.replies = []
        self.pending_read = 0
        self.confirmed_read = 0

    def clock(self, process):
        """Returns the clock reading of the holder (0), the first (1) or the second leader (2)."""
        return int(self.clock_rates[process] * self.time)

    def steps(self):
        """Yields the names of the methods for each event that may come next."""
        if self.time < END_TICK:
            yield "advance_time"
        if self.holder.number < MAX_REQUESTS and self.clock(0) >= self.holder.renewal_due_at:
            yield "send_request"
        yield from (["deliver_request"] if self.requests else []) + (
            ["deliver_reply"] if self.replies else []
        )
        if self.pending_read and not self.confirmed_read and not self.second_leader.term:
            yield "confirm_read"  # by a majority; the first leader does not know it yet
        if self.confirmed_read:
            yield "deliver_confirmation"
        if not self.second_leader.term:
            yield "elect_second_leader"

    def after(self, step):
        """Returns a copy of the model, after one more step."""
        copy = LeaseModel.__new__(LeaseModel)
        copy.__dict__.update(self.__dict__)
        for name in ("holder", "first_leader", "second_leader"):
            original = getattr(self, name)
            duplicate = type(original).__new__(type(original))
            duplicate.__dict__.update(
                {k: v.copy() if isinstance(v, dict | set) else v for k, v in original.__dict__.items()}
            )
            setattr(copy, name, duplicate)
        getattr(copy, step)()
        return copy

    def advance_time(self):
        self.time += 1

    def send_request(self):
        self.requests = self.requests + [RenewLease(self.holder.next_renewal(self.clock(0)), 1, 0)]

    def deliver_request(self):
        self.carry_out(self.first_leader.on_renewal(self.clock(1), "m", self.requests[0]))
        self.requests = self.requests[1:]

    def confirm_read(self):
        self.confirmed_read = self.pending_read

    def deliver_confirmation(self):
        number, self.confirmed_read, self.pending_read = self.confirmed_read, 0, 0
        self.carry_out(self.first_leader.on_read_confirmed(self.clock(1), number))

    def elect_second_leader(self):
        self.second_leader.on_elected(self.clock(2), 2)

    def deliver_reply(self):
        self.holder.on_renewed(self.replies[0])
        self.replies = self.replies[1:]

    def carry_out(self, orders):
        for order in orders:
            match order:
                case StartRead(number):
                    self.pending_read, self.confirmed_read = number, 0
                case SendReply(_, LeaseRenewed() as message):
                    self.replies = self.replies + [message]

    def is_unsafe(self):
        """Returns whether a leader takes the lease for expired while the member still holds it."""
        return self.holder.lease(self.clock(0)) is not None and (
            self.second_leader.has_expired(self.clock(2), "m", 1)
            or not self.second_leader.term
            and self.first_leader.has_expired(self.clock(1), "m", 1)
        )

    def key(self):
        """Returns the state for the comparison of models."""
        first, second = self.first_leader, self.second_leader
        return (
            self.time,
            self.holder.valid_until,
            tuple(self.holder.sent.items()),
            first.assumed_until,
            tuple(first.granted_until.items()),
            len(first.waiting),
            first.round and first.round.number,
            second.assumed_until,
            len(self.requests),
            len(self.replies),
            self.replies[0].number if self.replies else 0,
            self.pending_read,
            self.confirmed_read,
        )


def explore(clock_rates):
    """Returns how many states were visited, and whether an unsafe one was among them."""
    visited, stack = set(), [LeaseModel(clock_rates)]
    while stack:
        model = stack.pop()
        if model.is_unsafe():
            return len(visited), True
        if (key := model.key()) not in visited:
            visited.add(key)
            stack += [model.after(step) for step in model.steps()]
    return len(visited), False


@pytest.mark.parametrize("clock_rates", list(itertools.product(CLOCK_RATES, repeat=3)))
def test_no_leader_takes_a_held_lease_for_expired(clock_rates):
    states, unsafe = explore(clock_rates)
    assert not unsafe and states > 1000


def reply_without_read(self, now, name, message):
    return [SendReply(name, self._reply(now, name, message, True))]


@pytest.mark.parametrize("guard", ["request_time", "holder_drift", "grantor_drift", "election", "read"])
def test_exploration_detects_a_removed_guard(guard, monkeypatch):
    match guard:
        case "request_time":  # the holder counts the whole span, and from its last request on
            monkeypatch.setattr(
                LeaseHolder,
                "on_renewed",
                lambda self, message: (
                    setattr(self, "valid_until", SPAN + max(self.sent.values()))
                    if message.number in self.sent
                    else None
                ),
            )
        case "holder_drift":
            monkeypatch.setattr(leases, "holder_span", lambda span, drift: span)
        case "grantor_drift":
            monkeypatch.setattr(leases, "grantor_span", lambda span, drift: span)
        case "election":  # leases that another leader granted are ignored
            monkeypatch.setattr(
                LeaseGrantor,
                "has_expired",
                lambda self, now, *member: bool(self.term) and now >= (self.granted_until.get(member, 0)),
            )
        case "read":  # the leader replies without confirming that it still leads
            monkeypatch.setattr(LeaseGrantor, "on_renewal", reply_without_read)
    assert any(explore(clock_rates)[1] for clock_rates in itertools.product(CLOCK_RATES, repeat=3))


class IterationCounter(dict):
    """A dictionary that counts how often it is iterated over."""

    iterations = 0

    def __iter__(self):
        self.iterations += 1
        return super().__iter__()

    def items(self):
        self.iterations += 1
        return super().items()


def test_a_round_of_replies_iterates_over_the_leases_once():
    """One iteration for each reply took 3.9 s a round for 6,500 members (found by make bench-capacity)."""
    grantor, members = LeaseGrantor(SPAN, DRIFT, lambda *_: ""), [f"m{number}" for number in range(300)]
    grantor.on_elected(0, 1)
    leases = grantor.granted_until = IterationCounter(
        {(name, 1): 40 for name in members} | {("ended", 1): 30}
    )
    for name in members:
        grantor.on_renewal(30, name, RenewLease(1, 1, 0, 0, b"", 0, 0, {}))
    replies = []
    while grantor.round is not None:
        replies += [
            order for order in grantor.on_read_confirmed(30, grantor.reads) if isinstance(order, SendReply)
        ]
    assert len(replies) == 300 and all(isinstance(reply.message, LeaseRenewed) for reply in replies)
    assert leases.iterations == 1
    assert grantor.granted_until == {(name, 1): 30 + grantor.duration for name in members}
    assert grantor.has_expired(30, "ended", 1) and not grantor.has_expired(30, "m0", 1)
