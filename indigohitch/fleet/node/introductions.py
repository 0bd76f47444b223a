"""What this member tells of itself to those that greet it, and the highest number it has met of each name."""

from __future__ import annotations

from collections.abc import Callable

from ..storage.store import Storage
from ..transport.links import Transport
from ..transport.messages import HandshakeAccepted
from ..types import MemberId


class Introductions:
    """`listed`: the names of the voters in this member's file, sorted."""

    def __init__(self, disk: Storage, links: Transport, listed: Callable[[], tuple[str, ...]]) -> None:
        self.disk, self.links, self.listed = disk, links, listed

    def highest(self, name: str) -> int:
        """The highest number met of that name; 0 before any."""
        return self.disk.identity.seen_numbers.get(name, 0)

    def welcome(self, who: MemberId) -> HandshakeAccepted:
        """The answer to one that greets."""
        identity = self.disk.identity
        return HandshakeAccepted(
            self.links.own_id,
            self.links.token,
            self.highest(who.name),
            identity.founders if identity.number else self.listed(),
        )

    def met(self, who: MemberId) -> str:
        """Why it may not speak, "" where it may; then its number is kept."""
        if 0 < who.number < self.highest(who.name):
            return f"{who.name} comes with an old disk, number {who.number}"
        try:
            self.disk.folder.record_seen_number(who)
        except OSError as bad:
            return f"its number can't be kept: {bad}"
        return ""
