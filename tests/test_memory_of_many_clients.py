"""What many clients at once, or ever new ones, may take of a process's memory."""

import json
import socket
import struct
from types import SimpleNamespace

import psutil
import pytest

from field import Field
from indigohitch.control import ControlSocket
from indigohitch.encoding.frames import HEADER_BYTES
from indigohitch.fleet.distribution import distributor_listener
from indigohitch.fleet.distribution.convergence import MAX_DEPARTED_RATIO, ConvergenceTracker
from indigohitch.fleet.distribution.distributor_listener import DistributorListener
from indigohitch.fleet.distribution.limits import Limits
from indigohitch.fleet.distribution.messages import MESSAGE_TYPES
from indigohitch.fleet.distribution.types import NO_VERSION
from indigohitch.fleet.transport import messages as links
from indigohitch.fleet.transport.inbound import MAX_HANDSHAKE_BYTES, InboundLink
from indigohitch.fleet.types import MemberId
from indigohitch.net.clock import Clock
from indigohitch.net.loop import EventLoop
from indigohitch.net.ring_buffer import BufferPool
from indigohitch.sidecar.heads import RequestHead
from link_owner import LinkOwner
from waiting import eventually

CLIENTS = 400
MEMORY_MB = 8
BASE_PER_CLIENT_MB = 0.03  # objects and first blocks of a client and its attempt
LENGTH_AT = struct.calcsize("!4sBBH")  # of a frame's header
HEAD = b"GET /vacancies/1 HTTP/1.1\r\nHost: t\r\n" + b"a:\r\n" * 3900 + b"\r\n"


@pytest.fixture
def field(tmp_path):
    """A sidecar with a server that accepts connections and never answers."""
    silent = socket.create_server(("127.0.0.1", 0), backlog=CLIENTS)
    field = Field(tmp_path, servers=1, more=[f"limit memory {MEMORY_MB}MB", "limit idle-upstream 1"])
    field.silent = silent
    field.servers = ["{}:{}".format(*silent.getsockname())]
    field.write()
    field.start()
    yield field
    field.close()
    silent.close()


def test_requests_with_very_many_short_fields_stay_within_the_memory_limit(field):
    """Guards against a sidecar killed over its memory: 900 such requests took seven times the limit."""
    pid = field.pid()
    before = psutil.Process(pid).memory_info().rss
    host, port = field.listen.split(":")
    clients = [socket.create_connection((host, int(port)), 10) for _ in range(CLIENTS)]
    try:
        for client in clients:
            client.sendall(HEAD)
        eventually(lambda: field.ask("status")["in_hand"] > CLIENTS // 2, 20)
        grown_mb = (psutil.Process(pid).memory_info().rss - before) / 1e6
        assert grown_mb < MEMORY_MB + CLIENTS * BASE_PER_CLIENT_MB + 4
    finally:
        for client in clients:
            client.close()


def test_a_head_with_many_fields_is_forwarded_as_one_with_few():
    few = RequestHead(
        b"GET / HTTP/1.1\r\nHost: t\r\nX-Id: 7\r\nConnection: x-a\r\nX-A: 1\r\nVia: 1.1 z\r\n\r\n"
    )
    filler = b"".join(b"f%d: %d\r\n" % (n, n) for n in range(RequestHead.MAX_PARSED_FIELDS))
    many = RequestHead(
        b"GET / HTTP/1.1\r\nHost: t\r\nX-Id: 7\r\nConnection: x-a\r\nX-A: 1\r\nVia: 1.1 z\r\n"
        + filler
        + b"\r\n"
    )
    assert many.packed and not many.fields and not few.packed
    assert many.values(b"x-id") == few.values(b"x-id") == [b"7"]
    assert many.forwarded_head().replace(filler, b"") == few.forwarded_head()


@pytest.fixture
def link():
    loop = EventLoop(Clock(), pytest.fail)
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    owner = LinkOwner(loop)
    made = InboundLink(owner, ours, BufferPool(1 << 20))
    made.theirs = theirs
    made.turns = lambda count=1: [loop.turn() for _ in range(count)]
    yield made
    made.close()
    theirs.close()
    loop.close()


def handshake():
    return MESSAGE_TYPES.frame(links.Handshake("f", MemberId("a", 0), 1, role=links.SUBSCRIBER))


def header(length):
    """Returns the header of a frame with a body of this length."""
    frame = handshake()[:HEADER_BYTES]
    return frame[:LENGTH_AT] + struct.pack("!I", length) + frame[LENGTH_AT + 4 :]


def test_a_frame_before_the_handshake_is_refused_by_its_length(link):
    """Guards against strangers whose large frames took 250 MB of a distributor."""
    link.theirs.sendall(header(MAX_HANDSHAKE_BYTES + 1))
    link.turns()
    assert not link.connection.open and f"{MAX_HANDSHAKE_BYTES + 1} bytes" in link.owner.seen[0]


def test_frames_of_accepted_peers_share_the_memory_of_the_connections(link):
    link.theirs.sendall(handshake() + header(2 << 20))
    link.turns()
    assert link.connection.open and link.frames.max_body_bytes == MESSAGE_TYPES.max_frame_bytes
    link.theirs.setblocking(False)
    for _ in range(200):
        try:
            link.theirs.send(b"x" * (64 << 10))
        except OSError:
            pass
        if not link.connection.open:
            break
        link.turns()
    assert not link.connection.open
    assert link.pool.available == 1 << 20  # what was reserved is given back


def test_connections_that_never_subscribe_are_limited(monkeypatch):
    """Guards against peers that know the fleet's name and keep connections without a subscription."""
    monkeypatch.setattr(distributor_listener, "MAX_UNIDENTIFIED", 3)
    loop = EventLoop(Clock(), pytest.fail)
    log = SimpleNamespace(warning=lambda *_, **__: None)
    machine = SimpleNamespace(step=lambda *_: [], next_due=lambda *_: None)
    limits = Limits(subscribers=2)
    listener = DistributorListener(loop, log, "f", MemberId("d1", 1), 1, machine, limits)
    listener.driver = SimpleNamespace(step=lambda event: None)
    shake = links.Handshake("f", MemberId("a", 0), 1, role=links.SUBSCRIBER)
    made = []
    for _ in range(7):
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        made.append((InboundLink(listener.acceptor, ours), theirs))
        listener.on_handshake(made[-1][0], shake)
    assert [each.connection.open for each, _ in made] == [True] * 5 + [False] * 2
    for each, theirs in made:
        each.close()
        theirs.close()
    loop.close()


def test_ever_new_subscribers_do_not_add_up():
    """Guards against a distributor whose memory grew with each new name for ten minutes."""
    limits = Limits(subscribers=5)
    tracker = ConvergenceTracker("d1", limits)
    for number in range(1000):
        tracker.on_disconnected(
            number, SimpleNamespace(subscriber=f"s{number}", acknowledged=NO_VERSION, lease_until=0)
        )
    assert list(tracker.departed) == [f"s{n}" for n in range(1000 - MAX_DEPARTED_RATIO * 5, 1000)]


def test_clients_that_never_finish_a_command_do_not_keep_others_from_the_control_socket(tmp_path):
    """Guards against 16 half-written commands, after which no operator was answered."""
    loop = EventLoop(Clock(), pytest.fail)
    control = ControlSocket(loop, str(tmp_path / "c"), lambda name, command, answer: answer({"name": name}))
    clients = []
    for _ in range(3 * ControlSocket.MAX_CLIENTS):
        client = socket.socket(socket.AF_UNIX)
        client.connect(control.path)
        client.sendall(b'{"ask":')
        loop.turn()
        clients.append(client)
    last = socket.socket(socket.AF_UNIX)
    last.settimeout(5)
    last.connect(control.path)
    last.sendall(json.dumps({"ask": "status"}).encode() + b"\n")
    for _ in range(4):
        loop.call_after(10, lambda: None)
        loop.turn()
    assert json.loads(last.recv(100)) == {"name": "status"}
    assert len(control.clients) <= ControlSocket.MAX_CLIENTS
    control.close(True)
    for client in [*clients, last]:
        client.close()
