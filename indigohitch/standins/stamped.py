"""Stamps at a stand-in server: RPCs that bear one in `X-Stamp` (member.incarnation.term.version.number) are
held against those that came before, and against what it is told of the fleet:

    /fleet/gone/MEMBER/INCARNATION      its stamps count no more
    /fleet/in-force/VERSION             nor do those by what was before

An older one gets 409, and nothing is acted on."""

from __future__ import annotations

from collections.abc import Mapping

from ..fleet.audit.stamp_verifier import StampVerifier
from ..fleet.types import Stamp


class Stamped:
    def __init__(self) -> None:
        self.gate = StampVerifier()

    def why_not(self, heads: Mapping[bytes, bytes]) -> str:
        """ "" for an RPC without a stamp, or with one that counts."""
        if (shown := heads.get(b"x-stamp")) is None:
            return ""
        try:
            member, *numbers = shown.decode().rsplit(".", 4)
            stamp = Stamp(member, *map(int, numbers))
        except (ValueError, TypeError):
            return "no stamp that can be read"
        return self.gate.check(stamp)

    def told(self, target: bytes) -> bool:
        """Whether this was a word on the fleet."""
        match target.decode("latin-1").split("/")[1:]:
            case ["fleet", "gone", member, incarnation] if incarnation.isdigit():
                self.gate.revoke_incarnation(member, int(incarnation))
            case ["fleet", "in-force", version] if version.isdigit():
                self.gate.raise_minimum_version(int(version))
            case _:
                return False
        return True
