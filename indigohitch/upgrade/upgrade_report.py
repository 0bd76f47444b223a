"""What an upgrade took and moved, as it is told when it is over."""

from __future__ import annotations


class UpgradeReport:
    """Times are of the process's clock, tenths of a ms."""

    def __init__(self, now: int) -> None:
        self.asked = self.stopped = now
        self.told_of: dict[str, object] = {}

    def add(self, **named: object) -> None:
        self.told_of |= named

    def state_taken(self, size: int, began: int, now: int) -> None:
        self.add(state_bytes=size, freeze_ms=(now - began) / 10)

    def accepting_again(self, now: int) -> None:
        """The new process accepts: how long nobody did."""
        self.add(gap_ms=(now - self.stopped) / 10)

    def told(self, result: str, now: int) -> dict:
        return {"result": result, "took_ms": (now - self.asked) / 10} | self.told_of
