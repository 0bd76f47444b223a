"""The directives of the fleet, the same in a sidecar's file and in a coordinator's.

    name n1
    fleet whk
    member n1 10.0.0.1:7400 votes
    member n2 10.0.0.2:7400 votes
    member n3 10.0.0.3:7400 votes
    member eros-1 10.0.1.1:7400 follows
    ledger /var/lib/indigohitch/n1
    wait lease 2s

Each file lists all members, this one too; `name` says which one it is.  Addresses may differ from file to
file: they are those at which this member reaches the others.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from ..net.clock import SECOND
from . import words
from .lines import Reader, Vocabulary

MAX_DRIFT = 0.1  # clocks whose speeds differ by more than a tenth are broken
MIN_LEDGER_BYTES = 64 << 10  # room for a few entries
MAX_LEDGER_BYTES = 1 << 30  # fits in the memory of a small node
MIN_LEASE_ELECTIONS = 4  # a lease outlasts a failed election, the next one and the renewal after it
MIN_ELECTION_BEATS = 2  # the loss of a single heartbeat starts no election


def drift(text: str) -> float:
    """Parses the largest relative difference of two clocks' speeds, from 0 to 0.1."""
    if not 0 <= words.number(text) <= MAX_DRIFT:
        raise ValueError(f"{text} is no drift: a share from 0 to {MAX_DRIFT} is wanted")
    return words.number(text)


def ledger_size(text: str) -> int:
    """Parses a size from 64KB to 1GB to bytes."""
    if not MIN_LEDGER_BYTES <= words.size(text) <= MAX_LEDGER_BYTES:
        raise ValueError(f"{text} is not from 64KB to 1GB")
    return words.size(text)


# The defaults suit loopback and a single site: a beat is far longer than a round trip and an fsync, a lost
# leader is noticed after 0.3 s, and a lease that is renewed each quarter of its duration survives an
# election.  Quartz clocks drift by 1e-4 at most, so 1e-3 leaves a margin.
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
    """A `member` line; `votes` is false for a member that only follows."""

    name: str
    address: tuple[str, int]
    votes: bool
    line: int


@dataclass(slots=True)
class DistributorText:
    """A `distributor` line: a member and the address at which it serves subscribers."""

    name: str
    address: tuple[str, int]
    line: int


@dataclass(slots=True)
class FleetText:
    """What a file says about the fleet.

    Attributes:
        me: The name of this member.
        folder: Where the fleet's record is stored on disk.
        waits: `lease`, `election` and `beat` in tenths of a millisecond.
        limit: The size in bytes that the log may reach before a snapshot replaces it.
        edition: 0 if the file contracts nothing.
        parts: What each feature of the fleet has read, with line numbers.
        services: The services that a subscriber reaches; empty in a member's file.
    """

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


def on_member(line: int, rest: list[str], reader: Reader) -> None:
    """Declares a member; mistakes are reported, and a member with a valid name is kept for later checks."""
    if len(rest) != 3:
        raise ValueError("member NAME HOST:PORT votes|follows")
    name = reader.report_errors(line, reader.parse, "member", words.name, rest[0])
    address = reader.report_errors(line, reader.parse, "member", words.place, rest[1])
    if rest[2] not in ("votes", "follows"):
        reader.report(line, f"{rest[2]!r}: votes or follows is wanted")
    if name is None:
        return
    reader.declare(line, "member", name)
    members = reader.collected(FleetText).members
    duplicate = next((m for m in members.values() if m.address == address is not None), None)
    if duplicate is not None:
        reader.report(line, f"member {duplicate.name} in line {duplicate.line} has the same address")
    members[name] = MemberText(name, address, rest[2] == "votes", line)


def check(reader: Reader) -> None:
    """Stores the single values and checks them against each other and against the members."""
    fleet, single = reader.collected(FleetText), reader.values_of("directive", SINGLE)
    fleet.name, fleet.folder = single["fleet"], single["ledger"]
    fleet.drift, fleet.edition = single["drift"], single["edition"]
    fleet.waits, fleet.limit = reader.values_of("wait", WAITS), reader.values_of("limit", LIMITS)["ledger"]
    fleet.me = str(reader.given["directive"].get("name", ""))
    fleet.line = reader.first_lines.get(("directive", "fleet"), 0)
    if not fleet.line:
        for line, what in fleet_only_lines(reader, fleet):
            reader.report(line, f"{what} without a line `fleet`")
        return
    if fleet.services:
        return  # a subscriber's file: config/distribution.py checks it
    check_members(reader, fleet)
    check_waits(reader, fleet)
    if ("directive", "ledger") not in reader.first_lines:
        reader.report(fleet.line, "no line `ledger` says in which folder the fleet's record is kept")
    contract_lines = [part.line for parts in fleet.parts.values() for part in parts]
    if contract_lines and ("directive", "edition") not in reader.first_lines:
        reader.report(
            min(contract_lines), "a contract without a line `edition`, which numbers what is contracted"
        )


def fleet_only_lines(reader: Reader, fleet: FleetText) -> Iterator[tuple[int, str]]:
    """Yields line number and word of each line that needs a line `fleet`."""
    for kind, known in (("directive", SINGLE), ("wait", WAITS), ("limit", LIMITS)):
        for key in known:
            if (kind, key) in reader.first_lines:
                yield reader.first_lines[kind, key], key if kind == "directive" else f"{kind} {key}"
    for (kind, _), line in reader.first_lines.items():
        if kind == "member":
            yield line, "member"
    for name, parts in fleet.parts.items():
        for part in parts:
            yield part.line, name


def check_members(reader: Reader, fleet: FleetText) -> None:
    """Reports missing members, a fleet without voters, and a `name` that is missing or no member."""
    name_line = reader.first_lines.get(("directive", "name"))
    if name_line is None:
        reader.report(fleet.line, "no line `name` says which member this is")
    elif fleet.me and ("member", fleet.me) not in reader.first_lines:
        reader.report(name_line, f"{fleet.me} is no member of fleet {fleet.name}")
    if fleet.members and not any(member.votes for member in fleet.members.values()):
        reader.report(fleet.line, "no member votes")
    elif not any(kind == "member" for kind, _ in reader.first_lines):
        reader.report(fleet.line, "no line `member`")


def check_waits(reader: Reader, fleet: FleetText) -> None:
    """Reports a heartbeat of 0 and waits too short for each other."""
    lease, election, beat = (fleet.waits[key] for key in ("lease", "election", "beat"))

    def line(*keys: str) -> int:
        return next(
            (reader.first_lines["wait", key] for key in keys if ("wait", key) in reader.first_lines),
            fleet.line,
        )

    if not beat:
        reader.report(line("beat"), "a beat of 0 ms would send heartbeats without pause")
    if lease < MIN_LEASE_ELECTIONS * election:
        reader.report(
            line("lease", "election"),
            f"a lease of {lease / 10:g} ms is under {MIN_LEASE_ELECTIONS} elections of {election / 10:g} ms",
        )
    if election < MIN_ELECTION_BEATS * beat:
        reader.report(
            line("election", "beat"),
            f"an election of {election / 10:g} ms is under {MIN_ELECTION_BEATS} beats of {beat / 10:g} ms",
        )


def fleet_of(reader: Reader) -> FleetText | None:
    """Returns the fleet of a file without mistakes; None if the file has no line `fleet`."""
    fleet = reader.collected(FleetText)
    return fleet if fleet.name else None


VOCABULARY = Vocabulary({"member": on_member}, checks=(check,), single=SINGLE, waits=WAITS, limits=LIMITS)
