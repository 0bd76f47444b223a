"""The messages between the old and the new process of an upgrade.

They are sent in the frames of `encoding.frames`; file descriptors are attached to the first byte of a frame.
This module does no I/O.
"""

from __future__ import annotations

from ..encoding.frames import MAX_FRAME_BYTES, BrokenFrameError, FrameDecoder, MessageTypes
from ..encoding.rows import Row as Message

__all__ = ["MAX_FRAME_BYTES", "BrokenFrameError", "FrameDecoder", "Message", "MESSAGE_TYPES", "frame"]

PROTOCOL = 1


class Hello(Message):
    """New to old: the new process has started, and reads this protocol and state schema."""

    protocol: int
    schema: int
    pid: int
    version: str = ""


class Listeners(Message):
    """Old to new: the names of the listening sockets, in the order of the attached descriptors."""

    names: list[str]
    now: int  # ticks of the old process' clock, which the new process continues
    state_bytes: int
    rehearse_at: int  # ticks: the time for which the new process computes the orders of its module


class StateChunk(Message):
    """Old to new: a chunk of the encoded state."""

    data: bytes


class StateRestored(Message):
    """New to old: the state was decoded and encoded again, with this digest."""

    digest: bytes


class StateProven(Message):
    """New to old: the restored decision module has computed its orders."""

    orders: bytes  # digest of the orders at `rehearse_at`


class ConnectionsPassed(Message):
    """Old to new: connections by number, in the order of the attached descriptors.

    The kind is "client" in a sidecar; in a coordinator it is a JSON array of values that describe the
    connection, by position.
    """

    numbers: list[int]
    unread: list[bytes]  # received bytes that were not processed yet
    kinds: list[str]


class CommitHandover(Message):
    """Old to new: the old process has stopped accepting; the new one starts."""

    late_events: bytes  # encoded events since the state was taken
    reload: bool = False  # whether SIGHUP has arrived during the upgrade


class AcceptingStarted(Message):
    """New to old: the new process accepts connections."""


class ConnectionsAdopted(Message):
    """New to old: the new process owns the passed connections with these numbers."""

    numbers: list[int]


class LateEvents(Message):
    """Old to new: the encoded events that the old process received while it drained."""

    late_events: bytes


class DrainCompleted(Message):
    """Old to new: the old process has no requests and no connections left."""


class HandoverCalledOff(Message):
    """Old to new: the upgrade is cancelled."""

    reason: str


class HandoverRefused(Message):
    """New to old: the new process does not take over, or ends."""

    reason: str


MESSAGE_TYPES = MessageTypes(
    b"IHup",
    PROTOCOL,
    [
        Hello,
        Listeners,
        StateChunk,
        StateRestored,
        StateProven,
        ConnectionsPassed,
        CommitHandover,
        AcceptingStarted,
        ConnectionsAdopted,
        LateEvents,
        DrainCompleted,
        HandoverCalledOff,
        HandoverRefused,
    ],
)
frame = MESSAGE_TYPES.frame
