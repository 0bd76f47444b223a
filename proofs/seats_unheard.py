"""BROKEN=1: run first by each member: a job of which nothing was heard for 50 ms counts as over, as if its
seat needn't wait for the end that the server was told."""

from indigohitch.fleet.seats.desk import Desk, Ticket

_ask = Desk.ask


def ask(self: Desk, now: int, *rest):
    found = _ask(self, now, *rest)
    if isinstance(found, Ticket):
        self.later(now + 500, found)
    return found


Desk.ask = ask
