"""A channel that exists only while a new process exists."""

from __future__ import annotations

from collections.abc import Sequence

from .channel import Channel
from .messages import Message


class OptionalChannel:
    """Forwards calls to the attached channel; without one they do nothing."""

    def __init__(self) -> None:
        self.channel: Channel | None = None

    def is_attached(self) -> bool:
        """Whether a channel is attached."""
        return self.channel is not None

    def attach(self, channel: Channel) -> None:
        """Attaches a channel in place of the current one."""
        self.channel = channel

    def detach(self) -> None:
        """Detaches the channel without closing it."""
        self.channel = None

    def send(self, message: Message, descriptors: Sequence[int] = (), last: bool = False) -> None:
        """Sends a message; with `last`, blocks for a short time until it is sent."""
        if self.channel is not None:
            self.channel.send(message, descriptors)
            if last:
                self.channel.flush_blocking()

    def read(self) -> None:
        """Receives and delivers everything in the receive buffer."""
        if self.channel is not None:
            self.channel.read()

    def close(self) -> None:
        """Closes and detaches the channel."""
        if self.channel is not None:
            self.channel.close()
            self.channel = None
