"""Two streams of news at once: the one that tells and the one asked for, in every order in which they bring,
break and end.  Both are real sockets; whose turn it is, is told here."""

import socket

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import Clock
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.relay_watch import RelayWatch
from indigohitch.platform_protocol.store_mirror import StoreMirror
from test_store_mirror import Told

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def event(kind, **words):
    return f"event: {kind}\ndata: {'&'.join(f'{k}={v}' for k, v in words.items())}\n\n"


def attach(id):
    return event("attach", id=id, site="east", rps=5.0, new=0)


def owner(number, flag):
    return event("owner", range=number, flag=flag)


def entry(number, backend):
    return event("entry", range=number, target=backend, rps=1.0)


class Relay:
    """A listening socket; streams are taken and fed by hand."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.settimeout(10)
        self.at = self.sock.getsockname()

    def take(self, stage):
        """The next stream; its request has come."""
        stage.turn_until(lambda: stage.news.pending is not None)
        stream, _ = self.sock.accept()
        stage.turn_until(
            lambda: stage.news.pending.connection is not None and not stage.news.pending.connection.connecting
        )
        stream.settimeout(10)
        assert stream.recv(4096).startswith(b"GET /stream ")
        stream.sendall(HEAD)
        return stream


class Stage:
    def __init__(self):
        self.told = Told()
        self.told.count = lambda *_: None
        self.lost = []
        self.told.warning = lambda what, **words: self.lost.append((what, words.get("why")))
        self.loop = EventLoop(Clock(), self.failed)
        self.relays = [Relay(), Relay()]
        self.marks = []
        self.store_mirror = StoreMirror(self.loop, self.told, self.hear, list, lambda orders: None)
        self.news = RelayWatch(self.loop, self.told, self.relays[0].at, self.store_mirror)
        self.news.open()

    def hear(self, *events):
        self.marks += [e.marker for e in events if isinstance(e, face.UpdateAcknowledged)]
        self.told.hear(*events)

    def failed(self, broken):
        raise broken

    def turn_until(self, there):
        while not there():
            self.loop.call_after(100, lambda: None)
            self.loop.turn()

    def come(self, exchange):
        """What was sent to that stream is there; it is read, and nothing else is."""
        connection, before = exchange.connection, exchange.connection.sock
        waits = before.gettimeout()
        before.settimeout(10)
        before.recv(1, socket.MSG_PEEK)
        before.settimeout(waits)
        connection.ready(True, False)

    def two(self, start):
        """One stream tells, with this start; another one was asked for at the next address."""
        old = self.relays[0].take(self)
        say(old, start, ":\n")
        self.turn_until(lambda: self.store_mirror.has_started)
        self.news.move(self.relays[1].at)
        return old, self.relays[1].take(self)

    def close(self):
        self.news.close()
        self.loop.close()
        for relay in self.relays:
            relay.sock.close()


def say(stream, *texts):
    for text in texts:
        data = text if isinstance(text, bytes) else text.encode()
        stream.sendall(b"%x\r\n%b\r\n" % (len(data), data))


@pytest.fixture
def stage():
    found = Stage()
    yield found
    found.close()


START = attach(1) + attach(17) + owner(5, 1) + entry(5, "b0") + owner(88, 1) + entry(88, "b1")
# What changes, as the old one tells it: before or after the new one took its view.
CHANGED = (
    event("done", id=1, seq=4, ms=9.0)
    + event("detach", id=17)
    + owner(88, 0)
    + attach(3)
    + owner(9, 1)
    + entry(9, "b2")
)
AFTER = attach(1) + attach(3) + owner(5, 1) + entry(5, "b0") + owner(9, 1) + entry(9, "b2")


@pytest.mark.parametrize("view", ["before", "after"])
@pytest.mark.parametrize(
    "how", ["told", "untold", "unread", "unread and ended", "unread and reset", "unreadable"]
)
def test_the_last_words_of_the_one_and_the_view_of_the_other(stage, view, how):
    """Whatever of the change the old one still brought: what the new one tells is what stands."""
    old, new = stage.two(START)
    asked = stage.news.pending
    if how != "untold":
        say(old, CHANGED)
    if how == "told":
        stage.come(stage.news.current)
    elif how == "unread and ended":
        old.shutdown(socket.SHUT_WR)
    elif how == "unread and reset":
        old.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        old.close()
    elif how == "unreadable":
        say(old, b"event: attach\ndata: \xff\n\n")
    if view == "before":
        say(new, START, CHANGED, ":\n")  # it began before the change, and tells that too
    else:
        say(new, AFTER, ":\n")
    stage.turn_until(lambda: asked.connection.connecting is False)
    stage.come(asked)
    assert stage.news.current is asked and stage.news.pending is None and stage.news.retry_timer is None
    stage.turn_until(lambda: stage.store_mirror.initial_snapshot is None)
    stage.turn_until(lambda: not stage.store_mirror.unsettled_tables)
    assert stage.told.tables == {5: {"b0": 1.0}, 9: {"b2": 1.0}} and stage.told.proxies == {1, 3}
    if view == "after" and how not in ("untold", "unread and reset"):
        assert stage.marks == [4]  # no view tells of marks
    assert [what for what, _ in stage.lost if what == "relay_watch_lost"] == (
        ["relay_watch_lost"] if how in ("unread and ended", "unread and reset", "unreadable") else []
    )


@pytest.mark.parametrize("first", ["old", "new"])
def test_both_streams_end(stage, first):
    """The one that tells and the one asked for: another is asked for once, and only when both are gone."""
    old, new = stage.two(START)
    ends = [old, new] if first == "old" else [new, old]
    told, asked = stage.news.current, stage.news.pending
    ends[0].close()
    stage.come(told if first == "old" else asked)
    if first == "old":
        assert stage.news.current is None and stage.news.pending is asked and stage.news.retry_timer is None
    else:
        assert stage.news.pending is None and stage.news.retry_timer is not None
    again = stage.news.retry_timer
    ends[1].close()
    stage.come(asked if first == "old" else told)
    assert stage.news.retry_timer is not None and again in (None, stage.news.retry_timer)
    third = stage.relays[1].take(stage)
    say(third, AFTER, ":\n")
    stage.turn_until(lambda: stage.told.tables == {5: {"b0": 1.0}, 9: {"b2": 1.0}})
    assert stage.told.proxies == {1, 3}


def test_moved_twice_while_the_next_try_is_due(stage):
    old = stage.relays[0].take(stage)
    old.close()
    stage.turn_until(lambda: stage.news.retry_timer is not None)
    due = stage.news.retry_timer
    stage.news.move(stage.relays[1].at)
    first = stage.news.pending
    assert due.action is None and stage.news.retry_timer is None
    stage.news.move(stage.relays[0].at)
    assert first.ended and stage.news.retry_timer is None and stage.news.pending is not first
    stream = stage.relays[0].take(stage)
    say(stream, AFTER, ":\n")
    stage.turn_until(lambda: stage.store_mirror.has_started)
    assert stage.news.pending is None and stage.news.retry_timer is None and stage.told.proxies == {1, 3}
    assert not stage.news.move(stage.relays[0].at)
