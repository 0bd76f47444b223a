"""Run first by a member (Fleet(patch=...)): a lost member's pieces are all given anew, whatever ran."""

from indigohitch.fleet.batches.pieces import Pieces
from indigohitch.fleet.batches.rows import State


def gone(self, at, name, incarnation):
    for id in sorted(self.held.get((name, incarnation), ())):
        self.free(id, self.all[id], State.WAITING, at)


Pieces.gone = gone
