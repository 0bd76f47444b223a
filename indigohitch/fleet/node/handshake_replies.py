"""Replies to handshakes, and the highest number that this member has seen of each name."""

from __future__ import annotations

from collections.abc import Callable

from ..storage.store import Storage
from ..transport.links import Transport
from ..transport.messages import HandshakeAccepted
from ..types import MemberId


class HandshakeReplies:
    """Replies to handshakes with the identity and the numbers stored on the disk."""

    def __init__(
        self, disk: Storage, links: Transport, configured_voters: Callable[[], tuple[str, ...]]
    ) -> None:
        """Creates the replies; `configured_voters` returns the sorted voters of this member's file."""
        self.disk = disk
        self.links = links
        self.configured_voters = configured_voters

    def highest_number(self, name: str) -> int:
        """Returns the highest number seen of that name; 0 if none was seen."""
        return self.disk.identity.seen_numbers.get(name, 0)

    def acceptance(self, peer: MemberId) -> HandshakeAccepted:
        """Returns the reply that accepts the handshake of a peer."""
        identity = self.disk.identity
        return HandshakeAccepted(
            self.links.own_id,
            self.links.token,
            self.highest_number(peer.name),
            identity.founders if identity.number else self.configured_voters(),
        )

    def record(self, peer: MemberId) -> str:
        """Stores the number of a peer; returns the reason to refuse it, "" to accept it."""
        if 0 < peer.number < self.highest_number(peer.name):
            return f"{peer.name} comes with an old disk, number {peer.number}"
        try:
            self.disk.folder.record_seen_number(peer)
        except OSError as error:
            return f"its number can't be kept: {error}"
        return ""
