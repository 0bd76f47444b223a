"""Members of a fleet without processes: real states, leases, judges and chains of acts over a ledger that is
one list.  True time passes in steps; each member's clock drifts; links are cut one way, members stop and
restart, and all of it comes from one seed.  Rules are checked after every act."""

import random

import msgspec

from fleet_member import SPAN, Alter, Simulated, Take
from indigohitch.fleet.membership.leases import Answer, ReadFirst
from indigohitch.fleet.types import LogEntry
from indigohitch.net.clock import SECOND

__all__ = ["SPAN", "STEP", "Alter", "Take", "World"]

STEP = SECOND // 20
PATIENCE = SECOND // 2  # without a leader, or for an outcome


class World:
    def __init__(self, seed, size=5):
        self.chance = random.Random(seed)
        self.time, self.term, self.log, self.words, self.cuts = 0, 0, [], [], set()
        self.members = {f"m{n}": Simulated(f"m{n}", self.chance) for n in range(size)}
        self.leader, self.lost = None, 0
        self.last = {}  # thing -> who acted on it last
        self.floor = 0  # the last change in force at any member
        self.acted, self.standings = 0, set()

    def hears(self, to, sender):
        return max(to.stopped, sender.stopped) <= self.time and (sender.name, to.name) not in self.cuts

    def both(self, one, other):
        return one is other or self.hears(one, other) and self.hears(other, one)

    def leading(self, one):
        return one.stopped <= self.time and 2 * sum(self.both(one, m) for m in self.members.values()) > len(
            self.members
        )

    # ---- one step ----------------------------------------------------------------------------------

    def step(self):
        self.time += STEP
        if self.leader is None or not self.leading(self.leader):
            self.elect()
        else:
            self.lost = self.time
        for member in self.members.values():
            if member.stopped <= self.time:
                self.take(member)
                self.beat(member)
        due = [word for word in self.words if word[0] <= self.time]
        self.words = [word for word in self.words if word[0] > self.time]
        for _, sender, to, word in due:
            if self.hears(to, sender) or to is sender and to.stopped <= self.time:
                self.carry(to, to.membership.on_message(to.now(self.time), sender.name, word))

    def elect(self):
        fit = [m for m in self.members.values() if self.leading(m)]
        if self.time < self.lost + PATIENCE or not fit:
            return
        self.leader = max(fit, key=lambda m: m.state_machine.index)
        self.term += 1
        self.log.append(LogEntry(len(self.log) + 1, self.term, "", b""))
        self.leader.leads, self.lost = self.term, self.time
        self.leader.membership.on_role_changed(self.leader.now(self.time), "leader", self.term)

    def take(self, member):
        """What the leader tells it: entries, and that it leads no more."""
        if self.leader is None or not self.both(member, self.leader):
            return
        if member.leads and member is not self.leader:
            member.leads = 0
            member.membership.on_role_changed(member.now(self.time), "follower", self.term)
        room = len(self.log) if member is self.leader else member.state_machine.index + member.slow
        for entry in self.log[member.state_machine.index : room]:
            outcome = member.state_machine.apply(entry)
            self.floor = max(self.floor, member.state_machine.parts["members"].in_force)
            now = member.now(self.time)
            member.wants += member.membership.applied(now, entry, outcome)
            if (asked := member.out.pop((entry.proposer, entry.incarnation, entry.number), None)) is not None:
                self.answer(member, asked, outcome)

    def answer(self, member, asked, outcome):
        work, tag, _ = asked
        work = member.membership if work == "members" else member.auditing if work == "audit" else None
        if work is not None:
            member.wants += work.answered(member.now(self.time), tag, outcome)

    def beat(self, member):
        now, own = member.now(self.time), member.membership
        member.wants += own.turn(now, own.lease(now)) + member.auditing.turn(now, own.lease(now))
        if member.leads:
            member.wants += own.lead(now, {})
            self.standings |= {own.detector.standing(now, m) for m in own.roster.members.values()}
        wants, member.wants = member.wants, []
        for wanted in wants:
            self.propose(member, wanted.kind, wanted.body, wanted.tag)
        for key, asked in list(member.out.items()):
            if self.time > asked[2] + PATIENCE:
                del member.out[key]
                self.answer(member, asked, None)
        if (word := own.renew(now, 0, member.acts.number, {})) is not None and self.leader is not None:
            self.send(member, self.leader, word)
        self.act(member, now)

    def propose(self, member, kind, body, tag=""):
        proposer, incarnation = member.membership.proposer()
        number = next(member.numbers)
        member.out[proposer, incarnation, number] = kind.partition(".")[0], tag, self.time
        if self.leader is not None and self.both(member, self.leader) and self.leading(self.leader):
            entry = LogEntry(
                len(self.log) + 1,
                self.term,
                kind,
                msgspec.msgpack.encode(body),
                proposer,
                incarnation,
                number,
            )
            self.log += [entry] * self.chance.choice((1, 1, 1, 0))
            if self.chance.random() < 0.1:  # sent twice
                self.log.append(msgspec.structs.replace(entry, index=len(self.log) + 1))

    def send(self, sender, to, word):
        self.words.append((self.time + self.chance.choice((0, STEP, 2 * STEP, SECOND)), sender, to, word))

    def carry(self, member, outs):
        for out in outs:
            match out:
                case Answer(to, word):
                    self.send(member, self.members[to], word)
                case ReadFirst(number) if member is self.leader and self.leading(member):
                    if member.state_machine.index == len(self.log):
                        self.carry(
                            member, member.membership.on_read_confirmed(member.now(self.time), number, True)
                        )

    def act(self, member, now):
        things = member.state_machine.parts["things"].held
        own = member.membership
        free = [w for w in ("a", "b", "c") if w not in things]
        if free and own.lease(now) and self.chance.random() < 0.2:
            self.propose(member, "things.take", Take(self.chance.choice(free)))
        for what, by in things.items():
            if (
                by == (member.name, own.incarnation)
                and (stamp := member.acts.stamp(now, "things.done", what.encode())) is not None
            ):
                self.acted += 1
                assert stamp.version >= self.floor, "acts by what a change in force has ended"
                last = self.last.setdefault(what, [])
                assert by not in last[:-1], f"{by} acts on {what} after {last[-1]} did"
                if not last or last[-1] != by:
                    last.append(by)

    def run(self, seconds):
        for _ in range(seconds * SECOND // STEP):
            self.step()

    def records(self):
        return {name: member.store.chains for name, member in self.members.items()}
