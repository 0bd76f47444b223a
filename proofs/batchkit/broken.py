"""Run first by a member (Fleet(patch=...)): a lost member's pieces are all given anew, whatever ran."""

from indigohitch.fleet.batches.rows import State
from indigohitch.fleet.batches.tasks import Pieces


def gone(self, at, name, incarnation):
    for id in sorted(self.held.get((name, incarnation), ())):
        self.free(id, self.all[id], State.WAITING, at)


Pieces.gone = gone
