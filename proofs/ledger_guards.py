"""Guards of the ledger's machine that can be taken away, to show that the schedules find what each is for.

The machine has no switch for it: its methods are replaced here for as long as a schedule runs."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from indigohitch.fleet.raft.durability import DurabilityTracker
from indigohitch.fleet.raft.election import Election
from indigohitch.fleet.raft.interfaces import HardState
from indigohitch.fleet.raft.leader import Leader
from indigohitch.fleet.raft.read_index import ReadIndexQueue
from indigohitch.fleet.raft.state import RaftState
from proofs.ledger_leases import Leases


def promised_early():
    """What is asked of the disk counts at once."""
    write = DurabilityTracker.write

    def early(self, ballot, cut, entries, last):
        out = write(self, ballot, cut, entries, last)
        if not self.failed:
            self.completed_write, self.stable_index = self.last_write, last
        return out

    return DurabilityTracker, "write", early


def voted_twice():
    """A vote in this term is forgotten when the next one asks."""
    heard = Election.handle_request_vote

    def twice(self, sender, word):
        if not word.is_pre_vote and word.term == self.state.term:
            self.state.hard_state = HardState(word.term, None)
        heard(self, sender, word)

    return Election, "handle_request_vote", twice


def any_term():
    """A leader commits entries of older terms by counting."""
    return Leader, "is_of_own_term", lambda self, index: True


def read_alone():
    """A leader answers reads without asking anybody."""
    return ReadIndexQueue, "confirmed_round", lambda self: self.read_round


def not_sticky():
    """A vote is given against a leader that is heard, and without a vote before it."""
    return RaftState, "has_live_leader", property(lambda self: False)


def changes_at_once():
    """A change of the members doesn't wait for the one before it."""
    return Leader, "can_change_members", property(lambda self: True)


def nobody_before():
    """A new leader takes nobody to hold a lease that another gave."""
    return Leases, "over_at", lambda self, station, name: station.given.get(name, 0)


GUARDS = {
    "written": promised_early,
    "vote_once": voted_twice,
    "own_term": any_term,
    "read_quorum": read_alone,
    "prevote_sticky": not_sticky,
    "one_change": changes_at_once,
    "leases_assumed": nobody_before,
}


@contextmanager
def taken_away(name: str | None) -> Iterator[None]:
    if name is None:
        yield
        return
    where, method, instead = GUARDS[name]()
    before = where.__dict__[method]
    if not isinstance(instead, property):
        instead.__name__ = method  # so that what refers to it can be pickled
    setattr(where, method, instead)
    try:
        yield
    finally:
        setattr(where, method, before)
