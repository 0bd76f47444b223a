"""Makes what versions write to disk and send to relays, for the golden files."""

from __future__ import annotations

import tempfile
from pathlib import Path

from golden_files import as_json
from golden_files_versions import RECORD_VALUES, WORD_VALUES, kept, read_words, values
from golden_files_versions_said import commands, rules
from indigohitch.encoding.frames import HEADER_BYTES
from indigohitch.fleet.storage.files import FileSystem
from indigohitch.standins.table_relay import TableRelay
from indigohitch.versions.session import Session
from indigohitch.versions.store import Store
from indigohitch.versions.store_records import RECORDS, Begun, Made, More, Named, Pinned, frames, read
from indigohitch.versions.tables import Root, root_of
from indigohitch.versions.terms import (
    Ack,
    Channel,
    Claim,
    Guard,
    LineUpdate,
    Message,
    Nack,
    RangeReplacement,
    SliceLines,
    Version,
    VersionId,
)
from indigohitch.versions.words import WORDS, Hello, Joined, Welcome

FIRST, SECOND = "versions-000000001", "versions-000000002"
DIGEST = bytes(range(16))
ID = VersionId(7, DIGEST)
UPDATES = (LineUpdate(1, "a", 1.5), LineUpdate(65535, "bé", 0))
TABLES = (SliceLines(300, {"a": 1.0, "c": 0.25}), SliceLines(301, {}))


def records() -> bytes:
    """Returns one record of each kind, with all its fields."""
    rows = [
        Begun(6),
        More(TABLES),
        Made(7, VersionId(6, DIGEST[::-1]), "order é", 123_456_789_012, DIGEST, TABLES[:1]),
        Made(8, None, "", 0, bytes(16), ()),
        Named("good", 7),
        Pinned(7, "operator", 123_456_789_013),
        Pinned(0, "", 0),
    ]
    return frames(rows)


def words() -> bytes:
    """Returns each message with all its fields, and without those that have a default."""
    full = Claim(DIGEST, (bytes(16), DIGEST), 3, DIGEST[::-1], UPDATES)
    rows = [
        Hello("relay-1"),
        Welcome(9),
        Joined(9, full),
        Joined(9, Claim(DIGEST)),
        Message(9, 2, 1, ID, UPDATES, (RangeReplacement(256, 511, TABLES),)),
        Message(9, 3, 2, ID),
        Ack(9, 3, ID, DIGEST),
        Nack(9, 3, 2, True, full, "gap"),
        Nack(9, 3, 2, False, Claim(DIGEST)),
    ]
    return b"".join(WORDS.frame(row) for row in rows)


def session() -> bytes:
    """Returns a relay's session: a replacement, a delta, a lost message, a restart within a delta."""
    said: list = [Hello("relay-1")]
    first = root_of({n * 37: {"ab"[n % 2]: 1.0} for n in range(60)})
    second = first.changed({n * 37: {"c": 2.0, "a": 0.5} for n in range(0, 60, 3)})
    roots = {root.digest: root for root in (first, second)}
    relay, one = TableRelay(), Session("relay-1", Channel(lines=20), roots.get)

    def connect(connection: int) -> None:
        held = relay.connect(connection)
        said.extend([Welcome(connection), Joined(connection, held)])
        one.on_connect(0, connection, held)

    def go(now: int, lost: int = 0) -> None:
        """Sends until nothing is left to send; the message of sequence `lost` does not arrive."""
        for step in range(now, now + 20_000, 1000):
            for sent in one.due(step):
                said.append(sent)
                answer = relay.receive(sent) if sent.sequence != lost else None
                if answer is not None:
                    said.append(answer)
                    (one.on_ack if isinstance(answer, Ack) else one.on_nack)(step, answer)

    connect(1)
    one.set_target(Version(1, first, None, "first", 0), Guard())
    go(0)
    one.set_target(Version(2, second, VersionId(1, first.digest), "second", 1), Guard())
    go(200_000, lost=one.sequence + 2)
    assert relay.root == second
    # An unknown content, which is replaced.
    relay.root, relay.base, relay.since = first.with_line(0, "x", 1.0), b"", ()
    connect(2)
    go(400_000)
    assert relay.root == second
    return b"".join(WORDS.frame(row) for row in said)


def write_store(folder: str) -> Store:
    """Writes versions, names and pins, as a program does."""
    store = Store(FileSystem(), folder)
    store.open(8)
    first = root_of({0: {"a": 1.0}, 1: {"b": 2.25, "a": 0.5}, 300: {"c": 1.0}, 65535: {"bé": 3.0}})
    second = first.changed({0: {"b": 1.0}, 300: {}})
    store.add(Version(1, first, None, "first", 10))
    store.add(Version(2, second, VersionId(1, first.digest), "order é", 20))
    store.name("good", 1)
    store.name("bad", 2)
    store.pin(1, "operator", 25)
    store.name("bad", 0)
    store.pin(0, "", 0)
    store.add(Version(5, Root(), VersionId(2, second.digest), "all gone", 30))
    store.add(Version(6, second, None, "back", 123_456_789_012))
    store.name("next", 6)
    store.pin(2, "stage", 40)
    return store


def made() -> dict[str, bytes]:
    with tempfile.TemporaryDirectory() as folder:
        store = write_store(folder)
        first, found = (Path(folder) / FIRST).read_bytes(), as_json(kept(store))
        store.begin()
        second = (Path(folder) / SECOND).read_bytes()
        store.close()
    return {
        FIRST: first,
        SECOND: second,
        "store.json": found,
        "records": records(),
        "records.json": as_json(values(read(records(), "").rows, RECORD_VALUES)),
        "words": words(),
        "words.json": as_json(values(read_words(words()), WORD_VALUES)),
        "session": session(),
        "session.json": as_json(values(read_words(session()), WORD_VALUES)),
        "commands.json": commands(),
        "rules.json": rules(),
        "heads.json": as_json({"bytes": HEADER_BYTES, "records": RECORDS.magic, "words": WORDS.magic}),
    }
