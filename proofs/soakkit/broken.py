"""Guards taken out of a coordinator, to show that the soak notices."""

from __future__ import annotations


def take_out(name: str) -> None:
    """`repeats`: a call in doubt goes again at once, blindly, and a burst may use the window up.  Empty:
    nothing."""
    from indigohitch.logic import rate_limit
    from indigohitch.platform_protocol import in_flight_call, invariants

    if name == "repeats":
        in_flight_call.InFlightCall.query_outcome = lambda self, *words, **more: None
        in_flight_call.InFlightCall.retry_at = lambda self, in_reach: self.loop.clock.now() + 200
        rate_limit.MessageRateLimit.free_at = _bare_count
        invariants.InvariantChecker.SETTLE_TIME = 0
    elif name:
        raise ValueError(f"no guard of that name: {name!r}")


def _bare_count(self, now: int, urgent: bool) -> int:
    self._forget(now)
    full = self.max_messages and len(self.sent) >= self.max_messages
    return self.sent[-self.max_messages] + self.window if full else now
