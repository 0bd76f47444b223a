"""Two event streams at once: the current and the requested one, in every order in which they deliver data,
break and end. Both are real sockets; the tests decide which one is read."""

import socket

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import Clock
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.relay_watch import RelayWatch
from indigohitch.platform_protocol.store_mirror import StoreMirror
from test_store_mirror import FakeModule

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def event(kind, **fields):
    return f"event: {kind}\ndata: {'&'.join(f'{k}={v}' for k, v in fields.items())}\n\n"


def attach(id):
    return event("attach", id=id, site="east", rps=5.0, new=0)


def owner(number, flag):
    return event("owner", range=number, flag=flag)


def entry(number, backend):
    return event("entry", range=number, target=backend, rps=1.0)


class FakeRelay:
    """A listening socket; the tests accept and feed its streams."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.settimeout(10)
        self.address = self.sock.getsockname()

    def accept(self, stage):
        """Accept the next stream, read its request and send the head of the response."""
        stage.turn_until(lambda: stage.relay_watch.pending is not None)
        stream, _ = self.sock.accept()
        stage.turn_until(
            lambda: (
                stage.relay_watch.pending.connection is not None
                and not stage.relay_watch.pending.connection.connecting
            )
        )
        stream.settimeout(10)
        assert stream.recv(4096).startswith(b"GET /stream ")
        stream.sendall(RESPONSE_HEAD)
        return stream


class Stage:
    """A relay watch with its store mirror, and two relays that it can watch."""

    def __init__(self):
        self.module = FakeModule()
        self.module.count = lambda *_: None
        self.warnings = []
        self.module.warning = lambda name, **fields: self.warnings.append((name, fields.get("why")))
        self.loop = EventLoop(Clock(), self.fail)
        self.relays = [FakeRelay(), FakeRelay()]
        self.markers = []
        self.store_mirror = StoreMirror(self.loop, self.module, self.deliver, list, lambda orders: None)
        self.relay_watch = RelayWatch(self.loop, self.module, self.relays[0].address, self.store_mirror)
        self.relay_watch.open()

    def deliver(self, *events):
        self.markers += [e.marker for e in events if isinstance(e, face.UpdateAcknowledged)]
        self.module.deliver(*events)

    def fail(self, error):
        raise error

    def turn_until(self, holds):
        while not holds():
            self.loop.call_after(100, lambda: None)
            self.loop.turn()

    def receive(self, exchange):
        """Wait for the data sent to this stream and read it, and no other stream."""
        connection = exchange.connection
        sock = exchange.connection.sock
        timeout = sock.gettimeout()
        sock.settimeout(10)
        sock.recv(1, socket.MSG_PEEK)
        sock.settimeout(timeout)
        connection.ready(True, False)

    def open_two_streams(self, snapshot):
        """Return the current stream, which has sent this snapshot, and one requested at the other address."""
        old = self.relays[0].accept(self)
        send(old, snapshot, ":\n")
        self.turn_until(lambda: self.store_mirror.has_started)
        self.relay_watch.move(self.relays[1].address)
        return old, self.relays[1].accept(self)

    def close(self):
        self.relay_watch.close()
        self.loop.close()
        for relay in self.relays:
            relay.sock.close()


def send(stream, *texts):
    for text in texts:
        data = text if isinstance(text, bytes) else text.encode()
        stream.sendall(b"%x\r\n%b\r\n" % (len(data), data))


@pytest.fixture
def stage():
    made = Stage()
    yield made
    made.close()


SNAPSHOT = attach(1) + attach(17) + owner(5, 1) + entry(5, "b0") + owner(88, 1) + entry(88, "b1")
# Changes that the old stream reports; the relay takes the snapshot of the new one before or after them.
CHANGES = (
    event("done", id=1, seq=4, ms=9.0)
    + event("detach", id=17)
    + owner(88, 0)
    + attach(3)
    + owner(9, 1)
    + entry(9, "b2")
)
SNAPSHOT_AFTER = attach(1) + attach(3) + owner(5, 1) + entry(5, "b0") + owner(9, 1) + entry(9, "b2")


@pytest.mark.parametrize("snapshot", ["before", "after"])
@pytest.mark.parametrize(
    "last_data", ["read", "none", "unread", "unread and ended", "unread and reset", "malformed"]
)
def test_the_new_stream_determines_the_state_whatever_the_old_one_delivered_last(stage, snapshot, last_data):
    """The changes on the old stream are read, missing, unread, cut off or malformed when the new opens."""
    old, new = stage.open_two_streams(SNAPSHOT)
    requested = stage.relay_watch.pending
    if last_data != "none":
        send(old, CHANGES)
    if last_data == "read":
        stage.receive(stage.relay_watch.current)
    elif last_data == "unread and ended":
        old.shutdown(socket.SHUT_WR)
    elif last_data == "unread and reset":
        old.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        old.close()
    elif last_data == "malformed":
        send(old, b"event: attach\ndata: \xff\n\n")
    if snapshot == "before":
        send(new, SNAPSHOT, CHANGES, ":\n")  # it was opened before the changes and reports them too
    else:
        send(new, SNAPSHOT_AFTER, ":\n")
    stage.turn_until(lambda: requested.connection.connecting is False)
    stage.receive(requested)
    assert (
        stage.relay_watch.current is requested
        and stage.relay_watch.pending is None
        and stage.relay_watch.retry_timer is None
    )
    stage.turn_until(lambda: stage.store_mirror.initial_snapshot is None)
    stage.turn_until(lambda: not stage.store_mirror.unsettled_tables)
    assert stage.module.tables == {5: {"b0": 1.0}, 9: {"b2": 1.0}} and stage.module.proxies == {1, 3}
    if snapshot == "after" and last_data not in ("none", "unread and reset"):
        assert stage.markers == [4]  # a snapshot reports no markers
    assert [name for name, _ in stage.warnings if name == "relay_watch_lost"] == (
        ["relay_watch_lost"] if last_data in ("unread and ended", "unread and reset", "malformed") else []
    )


@pytest.mark.parametrize("first", ["old", "new"])
def test_both_streams_end(stage, first):
    """After the current and the requested stream have ended, exactly one new stream is requested."""
    old, new = stage.open_two_streams(SNAPSHOT)
    streams = [old, new] if first == "old" else [new, old]
    current = stage.relay_watch.current
    requested = stage.relay_watch.pending
    streams[0].close()
    stage.receive(current if first == "old" else requested)
    if first == "old":
        assert (
            stage.relay_watch.current is None
            and stage.relay_watch.pending is requested
            and stage.relay_watch.retry_timer is None
        )
    else:
        assert stage.relay_watch.pending is None and stage.relay_watch.retry_timer is not None
    retry_timer = stage.relay_watch.retry_timer
    streams[1].close()
    stage.receive(requested if first == "old" else current)
    assert stage.relay_watch.retry_timer is not None and retry_timer in (None, stage.relay_watch.retry_timer)
    third = stage.relays[1].accept(stage)
    send(third, SNAPSHOT_AFTER, ":\n")
    stage.turn_until(lambda: stage.module.tables == {5: {"b0": 1.0}, 9: {"b2": 1.0}})
    assert stage.module.proxies == {1, 3}


def test_only_a_stream_after_a_lost_one_counts_as_reopened(stage):
    """Guards against review/8: nothing asked discovery anew when the network was back."""
    reopened = []
    stage.relay_watch.on_reopened = lambda: reopened.append(stage.relay_watch.current)
    old, new = stage.open_two_streams(SNAPSHOT)
    send(new, SNAPSHOT_AFTER, ":\n")
    stage.turn_until(lambda: stage.relay_watch.pending is None)
    assert len(reopened) == 1  # the first one of this process
    new.close()
    stage.turn_until(lambda: stage.relay_watch.current is None)
    another = stage.relays[1].accept(stage)
    send(another, SNAPSHOT_AFTER, ":\n")
    stage.turn_until(lambda: stage.relay_watch.current is not None)
    assert reopened[1:] == [stage.relay_watch.current]


def test_two_address_changes_while_a_retry_is_due(stage):
    old = stage.relays[0].accept(stage)
    old.close()
    stage.turn_until(lambda: stage.relay_watch.retry_timer is not None)
    retry_timer = stage.relay_watch.retry_timer
    stage.relay_watch.move(stage.relays[1].address)
    first = stage.relay_watch.pending
    assert retry_timer.action is None and stage.relay_watch.retry_timer is None
    stage.relay_watch.move(stage.relays[0].address)
    assert first.ended and stage.relay_watch.retry_timer is None and stage.relay_watch.pending is not first
    stream = stage.relays[0].accept(stage)
    send(stream, SNAPSHOT_AFTER, ":\n")
    stage.turn_until(lambda: stage.store_mirror.has_started)
    assert (
        stage.relay_watch.pending is None
        and stage.relay_watch.retry_timer is None
        and stage.module.proxies == {1, 3}
    )
    assert not stage.relay_watch.move(stage.relays[0].address)
