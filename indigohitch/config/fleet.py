"""The fleet's directives, the same in a sidecar's file and in a coordinator's.

    name n1
    fleet whk
    member n1 10.0.0.1:7400 votes
    member n2 10.0.0.2:7400 votes
    member n3 10.0.0.3:7400 votes
    member eros-1 10.0.1.1:7400 follows
    ledger /var/lib/indigohitch/n1
    wait lease 2s

All members stand in each file, this one too; `name` says which it is.  Addresses may differ from file to
file: they are where this member reaches the others."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..net.clock import SECOND
from . import words
from .lines import Reader, Vocabulary

DRIFT_MOST = 0.1  # clocks that differ by more than a tenth are broken, not adrift
LEDGER_LEAST, LEDGER_MOST = 64 << 10, 1 << 30  # a few entries; what a small node's memory holds
LEASE_ELECTIONS = 4  # a lease outlives a failed vote, the next one and the renewal after it
ELECTION_BEATS = 2  # one beat that is lost calls no vote


def drift(text: str) -> float:
    """The most by which two clocks' speeds differ, as a share."""
    if not 0 <= words.number(text) <= DRIFT_MOST:
        raise ValueError(f"{text} is no drift: a share from 0 to {DRIFT_MOST} is wanted")
    return words.number(text)


def ledger_size(text: str) -> int:
    if not LEDGER_LEAST <= words.size(text) <= LEDGER_MOST:
        raise ValueError(f"{text} is not from 64KB to 1GB")
    return words.size(text)


# Loopback and one site: a beat is far above a round trip and an fsync; an election is noticed in 0.3 s, a
# lease renewed each quarter survives a vote.  Quartz drifts by 1e-4 at most: 1e-3 leaves room.
SINGLE = {
    "fleet": (words.name, ""),
    "ledger": (words.path, ""),
    "drift": (drift, 0.001),
    "edition": (words.count, 0),
}
WAITS = {
    "lease": (words.span, 2 * SECOND),
    "election": (words.span, 3 * SECOND // 10),
    "beat": (words.span, SECOND // 20),
}
LIMITS = {"ledger": (ledger_size, 16 << 20)}


@dataclass(slots=True)
class MemberText:
    name: str
    address: tuple[str, int]
    votes: bool
    line: int


@dataclass(slots=True)
class DistributorText:
    """A member at which others subscribe (config/distribution.py)."""

    name: str
    address: tuple[str, int]
    line: int


@dataclass(slots=True)
class FleetText:
    """What a file says of the fleet.  `me`: this member's name; `folder`: of the record on disk; `waits`
    (lease, election, beat) in tenths of a ms; `limit` in bytes: the log that is kept before a
    snapshot; `edition` 0: the file contracts nothing; `parts`: what each further part has read, with its
    lines; `services`: what a subscriber reaches, empty in a member's file."""

    name: str = ""
    me: str = ""
    members: dict[str, MemberText] = field(default_factory=dict)
    folder: str = ""
    waits: dict[str, int] = field(default_factory=dict)
    drift: float = 0.001
    edition: int = 0
    limit: int = 16 << 20
    parts: dict[str, list] = field(default_factory=dict)
    line: int = 0
    distributors: dict[str, DistributorText] = field(default_factory=dict)
    services: list[str] = field(default_factory=list)


def on_member(at: int, rest: list[str], reader: Reader) -> None:
    if len(rest) != 3:
        raise ValueError("member NAME HOST:PORT votes|follows")
    name = reader.guarded(at, reader.told, "member", words.name, rest[0])
    where = reader.guarded(at, reader.told, "member", words.place, rest[1])
    if rest[2] not in ("votes", "follows"):
        reader.wrong(at, f"{rest[2]!r}: votes or follows is wanted")
    if name is None:
        return
    reader.once(at, "member", name)
    members = reader.found(FleetText).members
    same = next((m for m in members.values() if m.address == where is not None), None)
    if same is not None:
        reader.wrong(at, f"member {same.name} in line {same.line} has the same address")
    members[name] = MemberText(name, where, rest[2] == "votes", at)


def complete(reader: Reader) -> None:
    """The one values, and what must hold between them and the members."""
    fleet, single = reader.found(FleetText), reader.picked("directive", SINGLE)
    fleet.name, fleet.folder = single["fleet"], single["ledger"]
    fleet.drift, fleet.edition = single["drift"], single["edition"]
    fleet.waits, fleet.limit = reader.picked("wait", WAITS), reader.picked("limit", LIMITS)["ledger"]
    fleet.me = str(reader.given["directive"].get("name", ""))
    fleet.line = reader.lines.get(("directive", "fleet"), 0)
    if not fleet.line:
        for line, what in stray(reader, fleet):
            reader.wrong(line, f"{what} without a line `fleet`")
        return
    if fleet.services:
        return  # a subscriber's file (config/distribution.py)
    check_members(reader, fleet)
    check_waits(reader, fleet)
    if ("directive", "ledger") not in reader.lines:
        reader.wrong(fleet.line, "no line `ledger` says in which folder the fleet's record is kept")
    contracts = [part.line for parts in fleet.parts.values() for part in parts]
    if contracts and ("directive", "edition") not in reader.lines:
        reader.wrong(min(contracts), "a contract without a line `edition`, which numbers what is contracted")


def stray(reader: Reader, fleet: FleetText) -> Iterator[tuple[int, str]]:
    """What only a fleet has."""
    for kind, known in (("directive", SINGLE), ("wait", WAITS), ("limit", LIMITS)):
        for key in known:
            if (kind, key) in reader.lines:
                yield reader.lines[kind, key], key if kind == "directive" else f"{kind} {key}"
    for (kind, _), line in reader.lines.items():
        if kind == "member":
            yield line, "member"
    for name, parts in fleet.parts.items():
        for part in parts:
            yield part.line, name


def check_members(reader: Reader, fleet: FleetText) -> None:
    named = reader.lines.get(("directive", "name"))
    if named is None:
        reader.wrong(fleet.line, "no line `name` says which member this is")
    elif fleet.me and ("member", fleet.me) not in reader.lines:
        reader.wrong(named, f"{fleet.me} is no member of fleet {fleet.name}")
    if fleet.members and not any(member.votes for member in fleet.members.values()):
        reader.wrong(fleet.line, "no member votes")
    elif not any(kind == "member" for kind, _ in reader.lines):
        reader.wrong(fleet.line, "no line `member`")


def check_waits(reader: Reader, fleet: FleetText) -> None:
    lease, election, beat = (fleet.waits[key] for key in ("lease", "election", "beat"))

    def line(*keys: str) -> int:
        return next((reader.lines["wait", key] for key in keys if ("wait", key) in reader.lines), fleet.line)

    if not beat:
        reader.wrong(line("beat"), "a beat of 0 ms would never rest")
    if lease < LEASE_ELECTIONS * election:
        reader.wrong(
            line("lease", "election"),
            f"a lease of {lease / 10:g} ms is under {LEASE_ELECTIONS} elections of {election / 10:g} ms",
        )
    if election < ELECTION_BEATS * beat:
        reader.wrong(
            line("election", "beat"),
            f"an election of {election / 10:g} ms is under {ELECTION_BEATS} beats of {beat / 10:g} ms",
        )


def told(reader: Reader) -> FleetText | None:
    """Of a reading without a mistake."""
    fleet = reader.found(FleetText)
    return fleet if fleet.name else None


VOCABULARY = Vocabulary({"member": on_member}, checks=(complete,), single=SINGLE, waits=WAITS, limits=LIMITS)
