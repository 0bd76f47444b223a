"""A publisher with relays for tests, and files in memory."""

import errno

from indigohitch import interface as face
from indigohitch.fleet.storage.files import FileSystem
from indigohitch.standins.table_relay import TableRelay
from indigohitch.versions.checks import Facts
from indigohitch.versions.history import MemoryStore
from indigohitch.versions.publisher import VersionPublisher
from indigohitch.versions.session import Session
from indigohitch.versions.tables import root_of
from indigohitch.versions.terms import Channel, Guard, Version

SLICES = 100
READY = {name: "ready" for name in "abcd"}
FACTS = Facts(READY, frozenset(range(SLICES)))


def line(slice, backend, weight=1.0):
    return face.SetRoute(slice, backend, weight)


def moved(slice, old, new):
    return [line(slice, new), line(slice, old, 0)]


class Room:
    """A publisher and its relays, with no message lost between them."""

    def __init__(self, relays=3, store=None, facts=FACTS):
        self.said, self.now = [], 0
        self.store = store or MemoryStore()
        self.publisher = VersionPublisher(self.store, facts, Channel(), self.hear)
        self.relays = {}
        if self.publisher.current is None:
            self.publisher.apply_orders(0, [line(slice, "ab"[slice % 2]) for slice in range(SLICES)], "first")
        for number in range(relays):
            self.join(f"r{number}", TableRelay())
        self.go()

    def hear(self, event, **fields):
        self.said.append((event, fields))

    def join(self, name, relay):
        self.relays[name] = relay
        session = self.publisher.session(name)
        connection = session.connection + 1
        session.on_connect(self.now, connection, relay.connect(connection))

    def go(self, most=300):
        lines = 0
        for _ in range(most):
            self.now += 100
            for name, relay in self.relays.items():
                session = self.publisher.sessions[name]
                for message in session.due(self.now):
                    lines += message.lines()
                    said = relay.receive(message)
                    if said is not None:
                        (session.on_nack if hasattr(said, "gap") else session.on_ack)(self.now, said)
                self.publisher.count_holder(session)
        return lines

    def same(self):
        assert all(relay.root == self.publisher.root for relay in self.relays.values())


class Plain(FileSystem):
    """Files in memory with the interface of FileSystem; `room` is the number of bytes left."""

    def __init__(self):
        self.held, self.open, self.room = {}, {}, 1 << 40

    def make_folder(self, path):
        pass

    def list_names(self, folder):
        return sorted(path[len(folder) + 1 :] for path in self.held)

    def read(self, path):
        return bytes(self.held[path])

    def write_atomically(self, path, data):
        if len(data) > self.room:
            raise OSError(errno.ENOSPC, "full")
        self.held[path] = bytearray(data)

    def open_for_append(self, path):
        fd = max(self.open, default=0) + 1
        self.open[fd] = path
        return fd

    def write(self, fd, data):
        part = bytes(data[: max(1, len(data) // 2)])
        if len(part) > self.room:
            self.held[self.open[fd]] += part[: self.room]  # an unfinished record
            self.room = 0
            raise OSError(errno.ENOSPC, "full")
        self.room -= len(part)
        self.held[self.open[fd]] += part
        return len(part)

    def fsync(self, fd):
        pass

    def close(self, fd):
        del self.open[fd]

    def truncate(self, path, size):
        del self.held[path][size:]

    def remove(self, path):
        del self.held[path]


def version(number, root):
    return Version(number, root, None, "test", 0)


def quiet(session, relay, now, most=400):
    """Delivers everything and advances the time until the session is in sync; returns that time."""
    for _ in range(most):
        for message in session.due(now):
            said = relay.receive(message)
            if said is not None:
                (session.on_nack if hasattr(said, "gap") else session.on_ack)(now, said)
        if session.in_sync:
            return now
        due = session.next_due(now)
        now = max(now + 1, due if due is not None else now)
    raise AssertionError(f"not settled: {session.phase} {session.in_flight}")


def settled(tables):
    root = root_of(tables)
    roots = {root.digest: root}
    relay, session = TableRelay(root), Session("r", Channel(), roots.get)
    session.on_connect(0, 1, relay.connect(1))
    session.set_target(version(1, root), Guard())
    assert session.in_sync and not session.due(0)
    return relay, session, roots
