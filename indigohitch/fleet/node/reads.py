"""Reads confirmed by a majority, asked here or by another member.  No I/O."""

from __future__ import annotations

from collections.abc import Callable

from ...errors import UnavailableError
from ...net.clock import SECOND

WAIT = 2 * SECOND  # longer than an election: who asked asks again
MOST = 1024

Done = Callable[[int | None], None]  # the index that the state machine has reached; None: not confirmed


class Reads:
    """`ask(number)` puts one to the machine or to the leader; the answer comes to `answered`."""

    def __init__(self) -> None:
        self.number = 0
        self.open: dict[int, tuple[int, Done]] = {}  # number -> when it is given up, its owner
        self.behind: list[tuple[int, int, Done]] = []  # confirmed; the state machine is not there yet

    def begin(self, now: int, done: Done) -> int:
        """Raises NotNow."""
        if len(self.open) + len(self.behind) >= MOST:
            raise UnavailableError(f"{MOST} reads are out", retry_after_ticks=SECOND // 10)
        self.number += 1
        self.open[self.number] = (now + WAIT, done)
        return self.number

    def answered(self, number: int, index: int, ok: bool, stands: int) -> None:
        """`stands`: where the state machine stands here."""
        until, done = self.open.pop(number, (0, None))
        if done is None:
            return
        if not ok:
            done(None)
        elif stands >= index:
            done(stands)
        else:
            self.behind.append((until, index, done))

    def applied(self, stands: int) -> None:
        if self.behind:
            ready = [done for _, index, done in self.behind if index <= stands]
            self.behind = [one for one in self.behind if one[1] > stands]
            for done in ready:
                done(stands)

    def beat(self, now: int) -> None:
        late = [number for number, (until, _) in self.open.items() if until <= now]
        over = [self.open.pop(number)[1] for number in late]
        over += [done for until, _, done in self.behind if until <= now]
        self.behind = [one for one in self.behind if one[0] > now]
        for done in over:
            done(None)
