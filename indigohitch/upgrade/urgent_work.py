"""An upgrade must not hold up what has a time limit: the old process looks for that while it stands still."""

from __future__ import annotations

from collections.abc import Callable

from ..net.clock import SECOND
from ..net.loop import EventLoop


class UrgentWorkMonitor:
    LOOK = SECOND // 20
    # A third of the shortest grace of a drain that we know: an upgrade that goes well takes a tenth of that.
    LONGEST = SECOND

    def __init__(
        self, loop: EventLoop, waits: Callable[[], bool | None], step: Callable[[str, str], None]
    ) -> None:
        """`waits`: something with a time limit does, None: the process stands still no more; `step(event,
        why)`: of the upgrade's machine, which calls it off.  Another may be asked for."""
        self.loop, self.waits, self.step = loop, waits, step
        self.since = 0  # when it began to wait, 0: nothing does

    def begin(self) -> None:
        """The process stands still from here on."""
        self.since = 0
        self.look()

    def look(self) -> None:
        waits = self.waits()
        if waits is None:
            return
        now = self.loop.clock.now()
        self.since = (self.since or now) if waits else 0
        if self.since and now - self.since >= self.LONGEST:
            self.step("refused", "orders with a time limit waited for it")
        else:
            self.loop.call_after(self.LOOK, self.look)
