"""What this member tells of itself to those that greet it, and the highest number it has met of each name."""

from __future__ import annotations

from collections.abc import Callable

from ..disk.store import Disk
from ..links.links import Links
from ..links.words import Welcome
from ..terms import Who


class Introductions:
    """`listed`: the names of the voters in this member's file, sorted."""

    def __init__(self, disk: Disk, links: Links, listed: Callable[[], tuple[str, ...]]) -> None:
        self.disk, self.links, self.listed = disk, links, listed

    def highest(self, name: str) -> int:
        """The highest number met of that name; 0 before any."""
        return self.disk.identity.met.get(name, 0)

    def welcome(self, who: Who) -> Welcome:
        """The answer to one that greets."""
        identity = self.disk.identity
        return Welcome(
            self.links.me,
            self.links.token,
            self.highest(who.name),
            identity.founders if identity.number else self.listed(),
        )

    def met(self, who: Who) -> str:
        """Why it may not speak, "" where it may; then its number is kept."""
        if 0 < who.number < self.highest(who.name):
            return f"{who.name} comes with an old disk, number {who.number}"
        try:
            self.disk.folder.met(who)
        except OSError as bad:
            return f"its number can't be kept: {bad}"
        return ""
