"""What versions write to disk and send to relays, converted to plain values.

Field names are written out here, so that they stay the same when a class or an attribute is renamed.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from indigohitch.encoding.frames import FrameDecoder
from indigohitch.encoding.rows import Row
from indigohitch.versions.store import Store
from indigohitch.versions.store_records import Begun, Made, More, Named, Pinned
from indigohitch.versions.terms import Ack, Claim, LineUpdate, Message, Nack, SliceLines, VersionId
from indigohitch.versions.words import WORDS, Hello, Joined, Welcome


def version_id(one: VersionId | None) -> dict | None:
    return None if one is None else {"number": one.number, "digest": one.digest}


def updates(some: tuple[LineUpdate, ...]) -> list[dict]:
    return [{"slice": one.slice, "backend": one.backend, "weight": one.weight} for one in some]


def tables(some: tuple[SliceLines, ...]) -> list[dict]:
    return [{"slice": one.slice, "lines": one.lines} for one in some]


def claim(one: Claim) -> dict:
    return {
        "digest": one.digest,
        "parts": [part for part in one.parts if any(part)],
        "parts_count": len(one.parts),
        "heard": one.heard,
        "base": one.base,
        "since": updates(one.since),
    }


def message(one: Message) -> dict:
    return {
        "connection": one.connection,
        "sequence": one.sequence,
        "after": one.after,
        "version_id": version_id(one.version_id),
        "updates": updates(one.updates),
        "replacements": [
            {"first": range_.first, "last": range_.last, "tables": tables(range_.tables)}
            for range_ in one.replacements
        ],
    }


def ack(one: Ack) -> dict:
    return {
        "connection": one.connection,
        "sequence": one.sequence,
        "version_id": version_id(one.version_id),
        "digest": one.digest,
    }


def nack(one: Nack) -> dict:
    return {
        "connection": one.connection,
        "refused": one.refused,
        "sequence": one.sequence,
        "gap": one.gap,
        "claim": claim(one.claim),
        "why": one.why,
    }


def made_version(one: Made) -> dict:
    return {
        "number": one.number,
        "parent": version_id(one.parent),
        "cause": one.cause,
        "at": one.at,
        "digest": one.digest,
        "changes": tables(one.changes),
    }


# By class: the number of its kind in a frame, and a function that returns its values.
RECORD_VALUES: dict[type, tuple[int, Callable[..., dict]]] = {
    Begun: (0, lambda one: {"records": one.records}),
    Made: (1, made_version),
    More: (2, lambda one: {"changes": tables(one.changes)}),
    Named: (3, lambda one: {"name": one.name, "number": one.number}),
    Pinned: (4, lambda one: {"number": one.number, "by": one.by, "at": one.at}),
}
WORD_VALUES: dict[type, tuple[int, Callable[..., dict]]] = {
    Hello: (0, lambda one: {"relay": one.relay}),
    Welcome: (1, lambda one: {"connection": one.connection}),
    Joined: (2, lambda one: {"connection": one.connection, "claim": claim(one.claim)}),
    Message: (3, message),
    Ack: (4, ack),
    Nack: (5, nack),
}


def values(some: list, by_class: dict[type, tuple[int, Callable[..., dict]]]) -> list[dict]:
    return [{"kind": by_class[type(one)][0]} | by_class[type(one)][1](one) for one in some]


def kept(store: Store) -> dict:
    """Returns what a store has read."""
    history = store.history
    return {
        "versions": [
            {
                "number": one.number,
                "parent": version_id(one.parent),
                "cause": one.cause,
                "at": one.at,
                "text": one.version_id.text(),
                "digest": one.root.digest,
                "slices": {slice: dict(table.lines) for slice, table in one.root.items()},
                "parts": {n: part for n, part in enumerate(one.root.parts()) if any(part)},
            }
            for one in history.by_number.values()
        ],
        "names": history.names,
        "pinned": store.pinned and RECORD_VALUES[Pinned][1](store.pinned),
    }


def read_words(data: bytes) -> list[Row]:
    return [row for row, _ in FrameDecoder(WORDS).feed(data)]


def removals(some: tuple[LineUpdate, ...]) -> tuple[LineUpdate, ...]:
    return tuple(LineUpdate(one.slice, one.backend, one.weight or 0) for one in some)


def as_sent(row: Row) -> Row:
    """Returns the row as the program makes it: it removes a line by the weight 0, read as the float 0.0."""
    if isinstance(row, Message):
        return replace(row, updates=removals(row.updates))
    if isinstance(row, Joined | Nack):
        return replace(row, claim=replace(row.claim, since=removals(row.claim.since)))
    return row
