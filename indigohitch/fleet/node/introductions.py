"""What this member reports of itself in a handshake, and the highest number it has seen of each name."""

from __future__ import annotations

from collections.abc import Callable

from ..storage.store import Storage
from ..transport.links import Transport
from ..transport.messages import HandshakeAccepted
from ..types import MemberId


class Introductions:
    """Replies to handshakes from what the disk knows."""

    def __init__(
        self, disk: Storage, links: Transport, configured_voters: Callable[[], tuple[str, ...]]
    ) -> None:
        """`configured_voters` returns the names of the voters in this member's file, sorted."""
        self.disk = disk
        self.links = links
        self.configured_voters = configured_voters

    def highest_number(self, name: str) -> int:
        """Returns the highest number seen of that name; 0 if there is none."""
        return self.disk.identity.seen_numbers.get(name, 0)

    def acceptance(self, peer: MemberId) -> HandshakeAccepted:
        """Returns the reply to an accepted handshake."""
        identity = self.disk.identity
        return HandshakeAccepted(
            self.links.own_id,
            self.links.token,
            self.highest_number(peer.name),
            identity.founders if identity.number else self.configured_voters(),
        )

    def record(self, peer: MemberId) -> str:
        """Stores the number of a peer; returns why the peer may not connect, "" if it may."""
        if 0 < peer.number < self.highest_number(peer.name):
            return f"{peer.name} comes with an old disk, number {peer.number}"
        try:
            self.disk.folder.record_seen_number(peer)
        except OSError as error:
            return f"its number can't be kept: {error}"
        return ""
