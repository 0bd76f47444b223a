"""The messages between the old and the new process of an upgrade.

They travel in the frames of `encoding.frames`; file descriptors are attached to the first byte of a frame.
This module does no I/O.
"""

from __future__ import annotations

from ..encoding.frames import MAX_FRAME_BYTES, BrokenFrameError, FrameDecoder, MessageTypes
from ..encoding.rows import Row as Message

__all__ = ["MAX_FRAME_BYTES", "BrokenFrameError", "FrameDecoder", "Message", "MESSAGE_TYPES", "frame"]

PROTOCOL = 1


class Hello(Message):
    """New to old: the new process has started; the protocol and the state schema that it reads."""

    protocol: int
    schema: int
    pid: int
    version: str = ""


class Listeners(Message):
    """Old to new, with their descriptors: the listening sockets by name, in order."""

    names: list[str]
    now: int  # by the clock of the old process, which the new one continues
    state_bytes: int
    rehearse_at: int  # the time for which the new process computes the orders of its module


class StateChunk(Message):
    """Old to new: a part of the encoded state."""

    data: bytes


class StateRestored(Message):
    """New to old: the digest of the state after decoding and encoding it once more."""

    digest: bytes


class StateProven(Message):
    """New to old: the restored module works."""

    orders: bytes  # digest of the orders of its module at `rehearse_at`


class ConnectionsPassed(Message):
    """Old to new, with their descriptors: connections by number, their unread bytes and their kinds.

    The kind is "client" at a sidecar; at a coordinator it is a JSON array of the
    caller's figures, by position.
    """

    numbers: list[int]
    rests: list[bytes]
    kinds: list[str]


class CommitHandover(Message):
    """Old to new: accept from here on.

    `rest` holds the events since the state was taken; `reload` is true if SIGHUP arrived meanwhile.
    """

    rest: bytes
    reload: bool = False


class AcceptingStarted(Message):
    """New to old: the new process accepts connections."""


class ConnectionsAdopted(Message):
    """New to old: the numbers of the passed connections that the new process owns now."""

    numbers: list[int]


class LateEvents(Message):
    """Old to new: the events that the old process received while it drained."""

    rest: bytes


class DrainCompleted(Message):
    """Old to new: the old process has no requests and no connections left."""


class HandoverCalledOff(Message):
    """Old to new: the upgrade is cancelled, with the reason."""

    why: str


class HandoverRefused(Message):
    """New to old: the new process does not take over, with the reason."""

    why: str


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
