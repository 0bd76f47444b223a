"""Collects the result of an upgrade: the amounts it moved and the time it took."""

from __future__ import annotations


class UpgradeReport:
    """The measured values of one upgrade; times are ticks of the process' clock, tenths of a ms."""

    def __init__(self, now: int) -> None:
        self.requested_at = now
        self.stopped_at = now
        self.values: dict[str, object] = {}

    def add(self, **named: object) -> None:
        """Add named values to the result."""
        self.values |= named

    def record_state(self, size: int, frozen_at: int, now: int) -> None:
        """Record the size of the state in bytes and how long the module was frozen."""
        self.add(state_bytes=size, freeze_ms=(now - frozen_at) / 10)

    def record_accepting(self, now: int) -> None:
        """Record the gap during which neither process accepted, which ends now."""
        self.add(gap_ms=(now - self.stopped_at) / 10)

    def summary(self, result: str, now: int) -> dict:
        """Return the whole result, with the duration in ms."""
        return {"result": result, "took_ms": (now - self.requested_at) / 10} | self.values
