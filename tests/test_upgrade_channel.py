"""The channel between the two processes of an upgrade: words, descriptors, and what is no word."""

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


class Ends:
    def __init__(self):
        self.loop = EventLoop(Clock(), self.fail)
        self.heard, self.ended = [], []
        self.ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        self.channel = Channel(
            self.loop,
            theirs,
            lambda word, fds: self.heard.append((word, fds)),
            lambda why, broken: self.ended.append((why, broken)),
        )

    @staticmethod
    def fail(broken):
        raise broken

    def turn(self, count=3):
        for _ in range(count):
            self.loop.call_after(10, lambda: None)
            self.loop.turn()


def test_words_and_descriptors_arrive_in_order_in_any_pieces():
    a, b = Ends(), Ends()
    rng = random.Random(3)
    data, sent = b"", []
    for n in range(30):
        word = rng.choice(
            [
                messages.StateChunk(os.urandom(rng.randrange(3000))),
                messages.ConnectionsAdopted([n]),
                messages.DrainCompleted(),
            ]
        )
        data += messages.frame(word)
        sent.append(word)
    while data:
        count = rng.randint(1, 700)
        a.ours.send(data[:count])
        data = data[count:]
        a.turn(1)
    assert [word for word, _ in a.heard] == sent
    read, write = os.pipe()
    other = Channel(b.loop, a.ours.dup(), lambda *_: None, lambda *_: None)
    other.send(messages.ConnectionsPassed([1, 2], [b"", b"x"], ["c", "c"]), [read, write])
    a.turn()
    word, (got, put) = a.heard[-1]
    os.write(put, b"hello")
    assert word.rests == [b"", b"x"] and os.read(read, 10) == b"hello" and got not in (read, write)


@pytest.mark.parametrize(
    "harm, why",
    [
        ("cut", "cut inside"),
        ("flip", "checksum"),
        ("magic", "protocol"),
        ("few", "lacks 2 descriptors"),
        ("kind", "no such word"),
        ("form", "Hello"),
    ],
)
def test_what_is_not_a_word_ends_the_channel(harm, why):
    ends = Ends()
    frame = bytearray(messages.frame(messages.Hello(1, 1, 5), 2 if harm == "few" else 0))
    if harm == "cut":
        frame = frame[:-2]
    elif harm == "flip":
        frame[-1] ^= 1
    elif harm == "magic":
        frame[0] ^= 1
    elif harm == "kind":
        frame[5] = 200
    elif harm == "form":
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
    ends.ours.send(frame)
    ends.ours.close()
    ends.turn()
    assert len(ends.ended) == 1 and why in ends.ended[0][0] and ends.ended[0][1] and not ends.heard


def test_last_words_count_though_a_write_fails_first():
    """Who refuses says why and ends, while the state is still being written to it."""
    ends = Ends()
    now = ends.loop.clock.now()
    ends.loop.clock.now = lambda: now  # the failed write is dealt with in this turn

    def meanwhile():
        ends.ours.send(messages.frame(messages.HandoverRefused("no room")))
        ends.ours.close()
        ends.channel.send(messages.StateChunk(b"x" * 1000))

    ends.loop.call_after(0, meanwhile)
    ends.loop.turn()
    assert [word for word, _ in ends.heard] == [messages.HandoverRefused("no room")]
    assert len(ends.ended) == 1 and not ends.ended[0][1]
