"""Links between members over loopback: greetings, strangers, spoilt frames, slow and silent peers."""

import random
import socket

import pytest

from indigohitch.encoding.frames import FrameDecoder
from indigohitch.fleet.node.messages import KINDS
from indigohitch.fleet.raft.messages import AppendEntries, RequestVoteResponse
from indigohitch.fleet.transport import outbound
from indigohitch.fleet.transport.handshake import check_member
from indigohitch.fleet.transport.links import MAX_UNIDENTIFIED, Transport
from indigohitch.fleet.transport.messages import Handshake, HandshakeAccepted, HandshakeRefused
from indigohitch.fleet.types import LogEntry, MemberId
from nodes import Kept, Looped, free


class Pair(Looped):
    """Links by name, each with what it heard."""

    def __init__(self, *names):
        super().__init__()
        self.at = {name: free() for name in names}
        self.heard = {name: [] for name in names}
        self.links = {}

    def start(self, name, number=1, fleet="whk", token=7, peers=None):
        links = self.links[name] = Transport(
            self.loop,
            Kept(self.clock, name),
            KINDS,
            fleet,
            MemberId(name, number),
            token,
            random.Random(1).random,
        )
        links.deliver = lambda who, word: self.heard[name].append((who, word))
        links.start(self.at[name])
        links.set_peers({other: at for other, at in (peers or self.at).items() if other != name})
        links.tick()
        return links

    def beat(self):
        for links in self.links.values():
            links.tick()
        self.loop.call_after(500, self.beat)

    def up(self, name, to):
        self.until(lambda: self.links[name].peers[to].phase is outbound.Phase.OPEN)

    def close(self):
        for links in self.links.values():
            links.close()
        self.loop.close()
        assert not self.failed


@pytest.fixture
def pair():
    pair = Pair("a", "b")
    pair.beat()
    yield pair
    pair.close()


def both(pair):
    a, b = pair.start("a"), pair.start("b")
    pair.up("a", "b"), pair.up("b", "a")
    return a, b


def test_words_arrive_in_order_from_who_said_them(pair):
    a, b = both(pair)
    for term in range(500):
        assert a.send(MemberId("b", 1), RequestVoteResponse(term, True))
    pair.until(lambda: len(pair.heard["b"]) == 500)
    assert pair.heard["b"] == [(MemberId("a", 1), RequestVoteResponse(term, True)) for term in range(500)]


def test_nothing_is_said_to_another_number_of_that_name(pair):
    a, b = both(pair)
    assert not a.send(MemberId("b", 2), RequestVoteResponse(1, True))
    b.set_own_id(MemberId("b", 2))
    pair.until(lambda: a.send(MemberId("b", 2), RequestVoteResponse(2, True)))
    pair.until(lambda: pair.heard["b"])
    assert not a.send(MemberId("b", 1), RequestVoteResponse(1, True))


def test_a_member_that_comes_back_is_dialled_again(pair):
    a, b = both(pair)
    b.close()
    pair.until(lambda: a.peers["b"].phase is not outbound.Phase.OPEN)
    assert not a.send(MemberId("b", 1), RequestVoteResponse(1, True))
    pair.turns(300)
    pair.start("b", token=8)
    pair.up("a", "b")
    assert a.peers["b"].acceptance.token == 8


@pytest.mark.parametrize(
    "greeting, kind",
    [
        (Handshake("other", MemberId("b", 1), 5), "another fleet"),
        (Handshake("whk", MemberId("x", 1), 5), "no member"),
        (Handshake("whk", MemberId("a", 1), 5), "ourselves"),
        (Handshake("whk", MemberId("b", 2), 5), "an old disk"),
        (Handshake("whk", MemberId("b", 4), 5, 9, 10), "protocol"),
        (Handshake("whk", MemberId("b", 3), 5), ""),
        (Handshake("whk", MemberId("b", 0), 5), ""),
        (Handshake("whk", MemberId("b", 4), 5, 1, 2), ""),
    ],
)
def test_who_may_speak(greeting, kind):
    assert check_member(greeting, "whk", "a", {"b", "c"}, 3)[1] == kind


def spoken(pair, data):
    """What a stranger who says this hears until it is closed."""
    with socket.create_connection(pair.at["a"], 5) as sock:
        sock.setblocking(False)
        sock.sendall(data)
        got = bytearray()

        def closed():
            try:
                part = sock.recv(4096)
            except BlockingIOError:
                return False
            except ConnectionError:
                return True
            got.extend(part)
            return not part

        pair.until(closed)
    return [word for word, _ in FrameDecoder(KINDS).feed(bytes(got))]


def test_strangers_are_closed_counted_and_told_why(pair):
    a = pair.start("a")
    other = KINDS.frame(Handshake("other", MemberId("b", 1), 5))
    assert spoken(pair, other) == [HandshakeRefused("of fleet other, this is whk")]
    assert spoken(pair, b"GET / HTTP/1.1\r\n\r\n") == []
    assert spoken(pair, KINDS.frame(RequestVoteResponse(1, True))) == []  # a word before the greeting
    assert spoken(pair, b"") == []  # says nothing at all
    assert a.log.counts["member_refused"] == 1 and a.log.counts["frame_spoilt"] == 1
    assert a.log.counts["stranger"] == 2
    assert all(fields["remedy"] for name, fields in a.log.events if name in ("stranger", "frame_spoilt"))
    assert pair.heard["a"] == []


@pytest.mark.parametrize("seed", range(8))
def test_spoilt_frames_close_and_never_reach_the_member(pair, seed):
    chance, a = random.Random(seed), pair.start("a")
    good = KINDS.frame(Handshake("whk", MemberId("b", 1), 5)) + KINDS.frame(RequestVoteResponse(1, True))
    data = bytearray(good)
    at = chance.randrange(len(KINDS.frame(Handshake("whk", MemberId("b", 1), 5))), len(good))
    data[at] ^= 1 << chance.randrange(8)
    with socket.create_connection(pair.at["a"], 5) as sock:
        sock.sendall(data)
        pair.until(lambda: a.inbound or a.log.counts["frame_spoilt"])
        pair.turns(30)
    # A length made longer only waits for more, and the number of descriptors says nothing here.
    assert all(word == RequestVoteResponse(1, True) for _, word in pair.heard["a"])
    assert (
        a.log.counts["frame_spoilt"]
        or pair.heard["a"]
        or at - (len(good) - len(KINDS.frame(RequestVoteResponse(1, True)))) in range(8, 16)
    )


def test_many_strangers_leave_room_for_members(pair):
    a = pair.start("a")
    socks = [socket.create_connection(pair.at["a"], 5) for _ in range(MAX_UNIDENTIFIED + 20)]
    pair.until(lambda: a.log.counts["strangers_too_many"])
    assert len(a.acceptor.unidentified) <= MAX_UNIDENTIFIED
    pair.start("b")
    pair.up("b", "a")  # once those have said nothing for a second
    for sock in socks:
        sock.close()


def test_a_peer_that_reads_nothing_loses_words_and_holds_up_nobody(pair):
    """It greets and then reads no more: what it can't take is dropped, memory stays bounded."""
    pair.at["c"] = free()
    pair.heard["c"] = []
    with socket.create_server(pair.at["c"]) as server:
        server.setblocking(False)
        a, b = both(pair)
        found = []

        def came():
            try:
                found.append(server.accept()[0])
            except BlockingIOError:
                return False
            return True

        pair.until(came)
        found[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        found[0].sendall(KINDS.frame(HandshakeAccepted(MemberId("c", 1), 3)))
        pair.up("a", "c")
        word = AppendEntries(1, 0, 0, 0, (LogEntry(1, 1, "notes.add", bytes(40_000)),))
        said = sum(a.send(MemberId("c", 1), word) for _ in range(200))
        assert said < 60 and a.peers["c"].dropped == 200 - said
        assert len(a.peers["c"].connection.outgoing) <= a.peers["c"].connection.BOUND
        assert a.send(MemberId("b", 1), word)
        pair.until(lambda: pair.heard["b"])
        pair.until(lambda: a.log.said("member_silent"))  # and it is noticed
        found[0].close()


def test_who_answers_at_anothers_address_is_not_taken_for_it(pair):
    pair.at["c"] = free()
    pair.heard["c"] = []
    pair.start("c")
    a = pair.start("a", peers=pair.at | {"b": pair.at["c"]})
    pair.until(lambda: a.log.said("not_who_was_dialled"))
    assert a.peers["b"].phase is not outbound.Phase.OPEN and a.peers["c"].peer == MemberId("c", 1)


def test_files_read_again_move_links(pair):
    a, b = both(pair)
    a.set_peers({})
    assert not a.send(MemberId("b", 1), RequestVoteResponse(1, True)) and not a.inbound
    pair.until(lambda: b.log.said("refused_by_member"))
    a.set_peers({"b": pair.at["b"]})
    pair.up("a", "b"), pair.up("b", "a")
