"""The channel between the two processes of an upgrade: messages, descriptors and invalid input."""

import os
import random
import socket

import msgspec
import pytest

from indigohitch.encoding import frames
from indigohitch.net.clock import Clock
from indigohitch.net.loop import EventLoop
from indigohitch.upgrade import messages
from indigohitch.upgrade.channel import Channel


class ChannelHarness:
    """A channel on a loop of its own, and the other end of its socket."""

    def __init__(self):
        self.loop = EventLoop(Clock(), self.fail)
        self.received = []
        self.ends = []
        self.other_end, own_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        self.channel = Channel(
            self.loop,
            own_end,
            lambda message, fds: self.received.append((message, fds)),
            lambda reason, broken: self.ends.append((reason, broken)),
        )

    @staticmethod
    def fail(broken):
        raise broken

    def turn(self, count=3):
        for _ in range(count):
            self.loop.call_after(10, lambda: None)
            self.loop.turn()


def test_messages_and_descriptors_arrive_in_order_however_the_stream_is_split():
    harness = ChannelHarness()
    other_harness = ChannelHarness()
    rng = random.Random(3)
    data = b""
    sent = []
    for n in range(30):
        message = rng.choice(
            [
                messages.StateChunk(os.urandom(rng.randrange(3000))),
                messages.ConnectionsAdopted([n]),
                messages.DrainCompleted(),
            ]
        )
        data += messages.frame(message)
        sent.append(message)
    while data:
        count = rng.randint(1, 700)
        harness.other_end.send(data[:count])
        data = data[count:]
        harness.turn(1)
    assert [message for message, _ in harness.received] == sent
    read, write = os.pipe()
    other = Channel(other_harness.loop, harness.other_end.dup(), lambda *_: None, lambda *_: None)
    other.send(messages.ConnectionsPassed([1, 2], [b"", b"x"], ["c", "c"]), [read, write])
    harness.turn()
    message, (new_read, new_write) = harness.received[-1]
    os.write(new_write, b"hello")
    assert message.unread == [b"", b"x"] and os.read(read, 10) == b"hello" and new_read not in (read, write)


@pytest.mark.parametrize(
    "fault, reason",
    [
        ("cut", "closed inside a message"),
        ("flip", "checksum"),
        ("magic", "protocol"),
        ("few", "lacks 2 descriptors"),
        ("kind", "no such word"),
        ("form", "Hello"),
    ],
)
def test_an_invalid_frame_ends_the_channel(fault, reason):
    harness = ChannelHarness()
    frame = bytearray(messages.frame(messages.Hello(1, 1, 5), 2 if fault == "few" else 0))
    if fault == "cut":
        frame = frame[:-2]
    elif fault == "flip":
        frame[-1] ^= 1
    elif fault == "magic":
        frame[0] ^= 1
    elif fault == "kind":
        frame[5] = 200
    elif fault == "form":
        body = msgspec.msgpack.encode(["x"])
        frame = (
            frames._HEADER.pack(
                messages.MESSAGE_TYPES.magic,
                1,
                0,
                0,
                len(body),
                frames.xxhash.xxh3_64_intdigest(body, 1 << 8),
            )
            + body
        )
    harness.other_end.send(frame)
    harness.other_end.close()
    harness.turn()
    assert len(harness.ends) == 1 and reason in harness.ends[0][0]
    assert harness.ends[0][1] and not harness.received


def test_a_refusal_is_received_although_a_write_fails_first():
    """A process that refuses sends the reason and exits while the state is still being written to it."""
    harness = ChannelHarness()
    now = harness.loop.clock.now()
    harness.loop.clock.now = lambda: now  # the failed write is handled in this turn

    def refuse_then_write():
        harness.other_end.send(messages.frame(messages.HandoverRefused("no room")))
        harness.other_end.close()
        harness.channel.send(messages.StateChunk(b"x" * 1000))

    harness.loop.call_after(0, refuse_then_write)
    harness.loop.turn()
    assert [message for message, _ in harness.received] == [messages.HandoverRefused("no room")]
    assert len(harness.ends) == 1 and not harness.ends[0][1]
