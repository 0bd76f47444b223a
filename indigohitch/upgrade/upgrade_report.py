"""Collects the result of an upgrade: what it moved and how long it took."""

from __future__ import annotations


class UpgradeReport:
    """The figures of one upgrade; times are ticks of the process's clock, tenths of a ms."""

    def __init__(self, now: int) -> None:
        self.requested_at = now
        self.stopped = now
        self.values: dict[str, object] = {}

    def add(self, **named: object) -> None:
        """Add named figures to the result."""
        self.values |= named

    def state_taken(self, size: int, frozen_at: int, now: int) -> None:
        """Record the size of the state in bytes and how long the module was frozen."""
        self.add(state_bytes=size, freeze_ms=(now - frozen_at) / 10)

    def accepting_again(self, now: int) -> None:
        """Record how long neither process accepted, now that one does again."""
        self.add(gap_ms=(now - self.stopped) / 10)

    def told(self, result: str, now: int) -> dict:
        """Return the whole result, with the duration in ms."""
        return {"result": result, "took_ms": (now - self.requested_at) / 10} | self.values
