"""Links between members over loopback: handshakes, unidentified connections, corrupt frames, slow peers."""

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


class TransportHarness(Looped):
    """Transports in one event loop, by name, with the messages that each has received."""

    def __init__(self, *names):
        super().__init__()
        self.addresses = {name: free() for name in names}
        self.received = {name: [] for name in names}
        self.transports = {}

    def start(self, name, number=1, fleet="whk", token=7, peers=None):
        transport = self.transports[name] = Transport(
            self.loop,
            Kept(self.clock, name),
            KINDS,
            fleet,
            MemberId(name, number),
            token,
            random.Random(1).random,
        )
        transport.deliver = lambda peer, message: self.received[name].append((peer, message))
        transport.start(self.addresses[name])
        transport.set_peers(
            {peer: address for peer, address in (peers or self.addresses).items() if peer != name}
        )
        transport.tick()
        return transport

    def tick_regularly(self):
        for transport in self.transports.values():
            transport.tick()
        self.loop.call_after(500, self.tick_regularly)

    def wait_until_open(self, name, peer):
        self.until(lambda: self.transports[name].peers[peer].phase is outbound.Phase.OPEN)

    def close(self):
        for transport in self.transports.values():
            transport.close()
        self.loop.close()
        assert not self.failed


@pytest.fixture
def harness():
    harness = TransportHarness("a", "b")
    harness.tick_regularly()
    yield harness
    harness.close()


def start_both(harness):
    a, b = harness.start("a"), harness.start("b")
    harness.wait_until_open("a", "b"), harness.wait_until_open("b", "a")
    return a, b


def test_messages_arrive_in_order_and_with_their_sender(harness):
    a, b = start_both(harness)
    for term in range(500):
        assert a.send(MemberId("b", 1), RequestVoteResponse(term, True))
    harness.until(lambda: len(harness.received["b"]) == 500)
    assert harness.received["b"] == [
        (MemberId("a", 1), RequestVoteResponse(term, True)) for term in range(500)
    ]


def test_nothing_is_sent_to_a_member_with_another_number(harness):
    a, b = start_both(harness)
    assert not a.send(MemberId("b", 2), RequestVoteResponse(1, True))
    b.set_own_id(MemberId("b", 2))
    harness.until(lambda: a.send(MemberId("b", 2), RequestVoteResponse(2, True)))
    harness.until(lambda: harness.received["b"])
    assert not a.send(MemberId("b", 1), RequestVoteResponse(1, True))


def test_a_restarted_member_is_dialled_again(harness):
    a, b = start_both(harness)
    b.close()
    harness.until(lambda: a.peers["b"].phase is not outbound.Phase.OPEN)
    assert not a.send(MemberId("b", 1), RequestVoteResponse(1, True))
    harness.turns(300)
    harness.start("b", token=8)
    harness.wait_until_open("a", "b")
    assert a.peers["b"].acceptance.token == 8


@pytest.mark.parametrize(
    "handshake, refusal",
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
def test_handshakes_of_other_fleets_unknown_members_old_disks_and_protocols_are_refused(handshake, refusal):
    assert check_member(handshake, "whk", "a", {"b", "c"}, 3)[1] == refusal


def replies_to(harness, data):
    """Sends bytes over a new connection and returns the messages received until it is closed."""
    with socket.create_connection(harness.addresses["a"], 5) as sock:
        sock.setblocking(False)
        sock.sendall(data)
        received = bytearray()

        def closed():
            try:
                chunk = sock.recv(4096)
            except BlockingIOError:
                return False
            except ConnectionError:
                return True
            received.extend(chunk)
            return not chunk

        harness.until(closed)
    return [message for message, _ in FrameDecoder(KINDS).feed(bytes(received))]


def test_unidentified_connections_are_closed_and_counted_and_refusals_state_why(harness):
    a = harness.start("a")
    other_fleet = KINDS.frame(Handshake("other", MemberId("b", 1), 5))
    assert replies_to(harness, other_fleet) == [HandshakeRefused("of fleet other, this is whk")]
    assert replies_to(harness, b"GET / HTTP/1.1\r\n\r\n") == []
    assert replies_to(harness, KINDS.frame(RequestVoteResponse(1, True))) == []  # before a handshake
    assert replies_to(harness, b"") == []  # sends nothing
    assert a.log.counts["member_refused"] == 1 and a.log.counts["frame_spoilt"] == 1
    assert a.log.counts["stranger"] == 2
    assert all(fields["remedy"] for name, fields in a.log.events if name in ("stranger", "frame_spoilt"))
    assert harness.received["a"] == []


@pytest.mark.parametrize("seed", range(8))
def test_a_flipped_bit_never_delivers_a_changed_message(harness, seed):
    rng, a = random.Random(seed), harness.start("a")
    intact = KINDS.frame(Handshake("whk", MemberId("b", 1), 5)) + KINDS.frame(RequestVoteResponse(1, True))
    data = bytearray(intact)
    position = rng.randrange(len(KINDS.frame(Handshake("whk", MemberId("b", 1), 5))), len(intact))
    data[position] ^= 1 << rng.randrange(8)
    with socket.create_connection(harness.addresses["a"], 5) as sock:
        sock.sendall(data)
        harness.until(lambda: a.inbound or a.log.counts["frame_spoilt"])
        harness.turns(30)
    # A larger length only waits for more bytes, and the number of descriptors has no effect here.
    assert all(message == RequestVoteResponse(1, True) for _, message in harness.received["a"])
    assert (
        a.log.counts["frame_spoilt"]
        or harness.received["a"]
        or position - (len(intact) - len(KINDS.frame(RequestVoteResponse(1, True)))) in range(8, 16)
    )


def test_many_unidentified_connections_leave_room_for_members(harness):
    a = harness.start("a")
    socks = [socket.create_connection(harness.addresses["a"], 5) for _ in range(MAX_UNIDENTIFIED + 20)]
    harness.until(lambda: a.log.counts["strangers_too_many"])
    assert len(a.acceptor.unidentified) <= MAX_UNIDENTIFIED
    harness.start("b")
    harness.wait_until_open("b", "a")  # once those have timed out, without a handshake for a second
    for sock in socks:
        sock.close()


def test_messages_to_a_peer_that_does_not_read_are_dropped_and_delay_no_other_peer(harness):
    """The peer accepts the handshake and then does not read; memory stays bounded."""
    harness.addresses["c"] = free()
    harness.received["c"] = []
    with socket.create_server(harness.addresses["c"]) as server:
        server.setblocking(False)
        a, b = start_both(harness)
        accepted = []

        def has_accepted():
            try:
                accepted.append(server.accept()[0])
            except BlockingIOError:
                return False
            return True

        harness.until(has_accepted)
        accepted[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        accepted[0].sendall(KINDS.frame(HandshakeAccepted(MemberId("c", 1), 3)))
        harness.wait_until_open("a", "c")
        message = AppendEntries(1, 0, 0, 0, (LogEntry(1, 1, "notes.add", bytes(40_000)),))
        sent = sum(a.send(MemberId("c", 1), message) for _ in range(200))
        assert sent < 60 and a.peers["c"].dropped == 200 - sent
        assert len(a.peers["c"].connection.outgoing) <= a.peers["c"].connection.MAX_BUFFERED
        assert a.send(MemberId("b", 1), message)
        harness.until(lambda: harness.received["b"])
        harness.until(lambda: a.log.said("member_silent"))
        accepted[0].close()


def test_a_link_is_not_opened_to_another_member_at_the_address(harness):
    harness.addresses["c"] = free()
    harness.received["c"] = []
    harness.start("c")
    a = harness.start("a", peers=harness.addresses | {"b": harness.addresses["c"]})
    harness.until(lambda: a.log.said("not_who_was_dialled"))
    assert a.peers["b"].phase is not outbound.Phase.OPEN and a.peers["c"].peer == MemberId("c", 1)


def test_links_follow_a_changed_list_of_members(harness):
    a, b = start_both(harness)
    a.set_peers({})
    assert not a.send(MemberId("b", 1), RequestVoteResponse(1, True)) and not a.inbound
    harness.until(lambda: b.log.said("refused_by_member"))
    a.set_peers({"b": harness.addresses["b"]})
    harness.wait_until_open("a", "b"), harness.wait_until_open("b", "a")
