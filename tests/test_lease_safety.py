"""No two act under one lease: every order of a small case with drifting clocks, and guards taken away."""

import itertools
from fractions import Fraction

import pytest

from indigohitch.fleet.membership import leases
from indigohitch.fleet.membership.leases import Answer, LeaseGrantor, LeaseHolder, ReadFirst
from indigohitch.fleet.membership.messages import LeaseRenewed, RenewLease

SPAN, DRIFT = 8, 0.25  # so coarse that what a drift does shows within a few steps
RATES = Fraction(3, 4), Fraction(5, 4)
END = 19  # true time: an election and a whole lease after the asking fit in
ASKINGS = 1


class Case:
    """One member `m` that holds something, the leader that it asks, and one that is elected later.  A
    majority confirms a read of the first only before it votes for the second; that word may come late."""

    def __init__(self, rates):
        self.rates, self.time = rates, 0
        self.holder, self.first = LeaseHolder(SPAN, DRIFT), LeaseGrantor(SPAN, DRIFT, lambda *_: "")
        self.second = LeaseGrantor(SPAN, DRIFT, lambda *_: "")
        self.holder.start(1)
        self.first.on_elected(0, 1)
        self.asked, self.told, self.read, self.confirmed, self.out = [], [], 0, 0, False

    def clock(self, n):
        return int(self.rates[n] * self.time)

    def steps(self):
        """What may happen next, by name."""
        if self.time < END:
            yield "wait"
        if self.holder.number < ASKINGS and self.clock(0) >= self.holder.renewal_due_at:
            yield "ask"
        yield from (["come"] if self.asked else []) + (["hear"] if self.told else [])
        if self.read and not self.confirmed and not self.second.term:
            yield "confirm"  # a majority has answered: the first doesn't know yet
        if self.confirmed:
            yield "answer"
        if not self.second.term:
            yield "elect"

    def go(self, step):
        new = Case.__new__(Case)
        new.__dict__.update(self.__dict__)
        for name in ("holder", "first", "second"):
            old = getattr(self, name)
            one = type(old).__new__(type(old))
            one.__dict__.update(
                {k: v.copy() if isinstance(v, dict | set) else v for k, v in old.__dict__.items()}
            )
            setattr(new, name, one)
        getattr(new, step)()
        return new

    def wait(self):
        self.time += 1

    def ask(self):
        self.asked = self.asked + [RenewLease(self.holder.next_renewal(self.clock(0)), 1, 0)]

    def come(self):
        self.carry(self.first.on_renewal(self.clock(1), "m", self.asked[0]))
        self.asked = self.asked[1:]

    def confirm(self):
        self.confirmed = self.read

    def answer(self):
        number, self.confirmed, self.read = self.confirmed, 0, 0
        self.carry(self.first.on_read_confirmed(self.clock(1), number))

    def elect(self):
        self.second.on_elected(self.clock(2), 2)

    def hear(self):
        self.holder.on_renewed(self.told[0])
        self.told = self.told[1:]

    def carry(self, outs):
        for out in outs:
            match out:
                case ReadFirst(number):
                    self.read, self.confirmed = number, 0
                case Answer(_, LeaseRenewed() as word):
                    self.told = self.told + [word]

    def broken(self):
        """Someone would give on what the member still holds."""
        return self.holder.lease(self.clock(0)) is not None and (
            self.second.has_expired(self.clock(2), "m", 1)
            or not self.second.term
            and self.first.has_expired(self.clock(1), "m", 1)
        )

    def key(self):
        first, second = self.first, self.second
        return (
            self.time,
            self.holder.valid_until,
            tuple(self.holder.sent.items()),
            first.assumed_until,
            tuple(first.granted_until.items()),
            len(first.waiting),
            first.round and first.round.number,
            second.assumed_until,
            len(self.asked),
            len(self.told),
            self.told[0].number if self.told else 0,
            self.read,
            self.confirmed,
        )


def walked(rates):
    """States seen, and whether one of them broke the promise."""
    seen, stack = set(), [Case(rates)]
    while stack:
        case = stack.pop()
        if case.broken():
            return len(seen), True
        if (key := case.key()) not in seen:
            seen.add(key)
            stack += [case.go(step) for step in case.steps()]
    return len(seen), False


@pytest.mark.parametrize("rates", list(itertools.product(RATES, repeat=3)))
def test_what_is_given_on_is_held_by_nobody(rates):
    states, broken = walked(rates)
    assert not broken and states > 1000


def unread(self, now, name, word):
    return [Answer(name, self._reply(now, name, word, True))]


@pytest.mark.parametrize("guard", ["from_hearing", "holder_drift", "giver_drift", "election", "read"])
def test_a_guard_taken_away_is_found(guard, monkeypatch):
    match guard:
        case "from_hearing":  # the holder counts from when the answer came
            monkeypatch.setattr(
                LeaseHolder,
                "on_renewed",
                lambda self, word: (
                    setattr(self, "valid_until", SPAN + max(self.sent.values()))
                    if word.number in self.sent
                    else None
                ),
            )
        case "holder_drift":
            monkeypatch.setattr(leases, "holder_span", lambda span, drift: span)
        case "giver_drift":
            monkeypatch.setattr(leases, "grantor_span", lambda span, drift: span)
        case "election":  # what another leader gave is not thought of
            monkeypatch.setattr(
                LeaseGrantor,
                "has_expired",
                lambda self, now, *one: bool(self.term) and now >= (self.granted_until.get(one, 0)),
            )
        case "read":  # the leader answers without asking whether it still leads
            monkeypatch.setattr(LeaseGrantor, "on_renewal", unread)
    assert any(walked(rates)[1] for rates in itertools.product(RATES, repeat=3))


class Counting(dict):
    """How often all of it is looked through."""

    looks = 0

    def __iter__(self):
        self.looks += 1
        return super().__iter__()

    def items(self):
        self.looks += 1
        return super().items()


def test_a_round_of_answers_looks_through_all_leases_once():
    """Found by make bench-capacity: it was once for each answer, 3.9 s a round for 6,500 members."""
    giver, members = LeaseGrantor(SPAN, DRIFT, lambda *_: ""), [f"m{number}" for number in range(300)]
    giver.on_elected(0, 1)
    until = giver.granted_until = Counting({(name, 1): 40 for name in members} | {("ended", 1): 30})
    for name in members:
        giver.on_renewal(30, name, RenewLease(1, 1, 0, 0, b"", 0, 0, {}))
    answers = []
    while giver.round is not None:
        answers += [one for one in giver.on_read_confirmed(30, giver.reads) if isinstance(one, Answer)]
    assert len(answers) == 300 and all(isinstance(one.word, LeaseRenewed) for one in answers)
    assert until.looks == 1
    assert giver.granted_until == {(name, 1): 30 + giver.duration for name in members}
    assert giver.has_expired(30, "ended", 1) and not giver.has_expired(30, "m0", 1)
