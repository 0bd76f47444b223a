"""What the two processes say to each other, in the frames of `packed`; descriptors ride on a frame's first
byte.  No I/O."""

from __future__ import annotations

from ..encoding.frames import MAX_FRAME_BYTES, BrokenFrameError, FrameDecoder, MessageTypes
from ..encoding.rows import Row as Message

__all__ = ["MAX_FRAME_BYTES", "BrokenFrameError", "FrameDecoder", "Message", "MESSAGE_TYPES", "frame"]

PROTOCOL = 1


class Hello(Message):
    """New to old: I am here, and this is what I read."""

    protocol: int
    schema: int
    pid: int
    version: str = ""


class Listeners(Message):
    """Old to new, with their descriptors: listening sockets by name, in order."""

    names: list[str]
    now: int  # of the old one's clock, which the new one takes over
    state_bytes: int
    rehearse_at: int  # at this time the new one is to say what its module would order


class StateChunk(Message):
    """A part of the state."""

    data: bytes


class StateRestored(Message):
    """The state, read and written again, has this digest."""

    digest: bytes


class StateProven(Message):
    orders: bytes  # digest of what its module would order at `rehearse_at`


class ConnectionsPassed(Message):
    """With their descriptors: connections, by number, what each brought that nobody read, and what it is:
    "client" at a sidecar; at a coordinator the caller's figures as a JSON array, by position."""

    numbers: list[int]
    rests: list[bytes]
    kinds: list[str]


class CommitHandover(Message):
    """You accept from here on.  `rest`: what came since the state was taken; `reload`: SIGHUP came."""

    rest: bytes
    reload: bool = False


class AcceptingStarted(Message):
    pass


class ConnectionsAdopted(Message):
    """These have their owner now."""

    numbers: list[int]


class LateEvents(Message):
    """What the old one still met while it drained."""

    rest: bytes


class DrainCompleted(Message):
    pass


class HandoverCalledOff(Message):
    why: str


class HandoverRefused(Message):
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
