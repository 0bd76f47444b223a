"""Checks stamps at a stand-in server.

An RPC may carry a stamp in `X-Stamp` (member.incarnation.term.version.number).  It is compared with those
that came before, and with what the server is told about the fleet:

    /fleet/gone/MEMBER/INCARNATION      stamps of that incarnation are no longer valid
    /fleet/in-force/VERSION             nor are stamps of earlier versions

An RPC with a stale stamp gets 409 and is not acted on.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..fleet.audit.stamp_verifier import StampVerifier
from ..fleet.types import Stamp


class StampGuard:
    """Rejects RPCs whose stamps are stale or cannot be read."""

    def __init__(self) -> None:
        self.verifier = StampVerifier()

    def rejection_reason(self, headers: Mapping[bytes, bytes]) -> str:
        """Returns why the RPC is rejected, or "" if it has no stamp or a valid one."""
        if (text := headers.get(b"x-stamp")) is None:
            return ""
        try:
            member, *numbers = text.decode().rsplit(".", 4)
            stamp = Stamp(member, *map(int, numbers))
        except (ValueError, TypeError):
            return "no stamp that can be read"
        return self.verifier.check(stamp)

    def apply_fleet_message(self, target: bytes) -> bool:
        """Applies a message about the fleet; returns whether the target was one."""
        match target.decode("latin-1").split("/")[1:]:
            case ["fleet", "gone", member, incarnation] if incarnation.isdigit():
                self.verifier.revoke_incarnation(member, int(incarnation))
            case ["fleet", "in-force", version] if version.isdigit():
                self.verifier.raise_minimum_version(int(version))
            case _:
                return False
        return True
