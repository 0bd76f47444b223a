"""One client that sends small messages at full speed does not keep others from their answers."""

import contextlib
import json
import socket
import time

import pytest

from indigohitch.control import ControlClient, ControlSocket
from indigohitch.fleet.distribution.messages import MESSAGE_TYPES
from indigohitch.fleet.transport import messages as links
from indigohitch.fleet.transport.inbound import PEER_READ_BYTES, PEER_READS, InboundLink
from indigohitch.fleet.types import MemberId
from indigohitch.net.clock import Clock
from indigohitch.net.loop import EventLoop
from link_owner import LinkOwner

COMMANDS = 3000


@pytest.fixture
def loop():
    loop = EventLoop(Clock(), pytest.fail)
    yield loop
    loop.close()


def one_turn(loop):
    loop.call_after(20, lambda: None)
    loop.turn()


def test_pipelined_commands_of_one_client_leave_room_for_others(loop, tmp_path):
    """Guards against a control socket that held the loop for 0.2 s while one script wrote without a pause."""
    handled = []
    control = ControlSocket(
        loop, str(tmp_path / "c"), lambda name, command, answer: (handled.append(name), answer({}))
    )
    flooder, other = socket.socket(socket.AF_UNIX), socket.socket(socket.AF_UNIX)
    flooder.connect(control.path)
    flooder.sendall(b'{"ask":"flood"}\n' * COMMANDS)
    one_turn(loop)
    assert len(handled) <= 2 * ControlClient.MAX_COMMANDS_PER_TURN
    other.connect(control.path)
    other.sendall(json.dumps({"ask": "status"}).encode() + b"\n")
    for _ in range(4):
        one_turn(loop)
    assert "status" in handled and handled.count("flood") < 12 * ControlClient.MAX_COMMANDS_PER_TURN
    flooder.setblocking(False)
    while len(handled) <= COMMANDS:  # each command is handled in the end
        with contextlib.suppress(BlockingIOError):  # a turn that comes too soon handles none
            flooder.recv(1 << 16)
        one_turn(loop)
    control.close(True)
    flooder.close()
    other.close()


def test_an_overlong_command_behind_others_ends_its_connection(loop, tmp_path):
    handled = []
    control = ControlSocket(loop, str(tmp_path / "c"), lambda name, command, answer: handled.append(name))
    client = socket.socket(socket.AF_UNIX)
    client.connect(control.path)
    client.sendall(b'{"ask":"status"}\n' * 9 + b"x" * (ControlClient.MAX_LINE_BYTES + 1))
    for _ in range(9):
        one_turn(loop)
    assert len(handled) == 9 and not control.clients
    control.close(True)
    client.close()


def test_the_small_messages_of_one_peer_are_handled_over_several_turns(loop):
    """Guards against a member whose loop was held for 0.1 s at a time by one peer that sent pings."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        theirs = socket.create_connection(server.getsockname())
        ours, _ = server.accept()
    ours.setblocking(False)
    owner = LinkOwner(loop)
    link = InboundLink(owner, ours)
    theirs.sendall(MESSAGE_TYPES.frame(links.Handshake("f", MemberId("a", 0), 1)))
    while link.peer is None:
        one_turn(loop)
    message = MESSAGE_TYPES.frame(links.HandshakeRefused("x"))
    theirs.setblocking(False)
    sent = theirs.send(message * (400_000 // len(message)))
    assert sent > 2 * PEER_READS * PEER_READ_BYTES
    time.sleep(0.1)  # all of it is in the receive buffer
    one_turn(loop)
    assert len(owner.seen) <= PEER_READS * PEER_READ_BYTES / len(message)
    for _ in range(200):
        one_turn(loop)
    assert len(owner.seen) == sent // len(message)
    link.close()
    theirs.close()
