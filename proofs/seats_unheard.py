"""BROKEN=1: run first by each member: a job of which nothing was heard for 50 ms counts as over, as if its
seat needn't wait for the end that the server was told."""

from indigohitch.fleet.seats.allocator import Allocation, SeatAllocator

_ask = SeatAllocator.allocate


def ask(self: SeatAllocator, now: int, *rest):
    found = _ask(self, now, *rest)
    if isinstance(found, Allocation):
        self.expire_at(now + 500, found)
    return found


SeatAllocator.allocate = ask
