"""The directives of licence seats.

    edition 3
    seats geocoder 40 kind job from 2026-01-01 to 2026-12-31 drain 10s keep urgent=4,schools=2
    seats reader 6 kind user linger 2s
    seat-tenant X-Tenant
    seat-user X-User
    rpc address-search idempotent deadline 2s seat geocoder

`kind` says what occupies a seat: each `job` (RPC), each `node` (server), or each `user` of a tenant.  Days
are in UTC, and the last day belongs to the contract; an instant is written as 2026-12-31T18:00.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from ..net.clock import SECOND
from . import words
from .fleet import FleetText
from .lines import Reader, Vocabulary
from .texts import SidecarText

KINDS = ("job", "node", "user")
# Long enough for the work in progress of a node or user (users' RPCs end within seconds), and short for
# operators who wait for a reduction to apply.
DEFAULT_DRAIN = 30 * SECOND


@dataclass(slots=True)
class SeatsText:
    """A `seats` line.

    Attributes:
        since: The start of the contract in tenths of a millisecond of Unix time; 0 if it has none.
        until: Its end in the same unit; 0 if it has none.
        linger: How long a node or user keeps its seat after its last job, in tenths of a millisecond.
        drain: How long jobs may still start on seats that have to be returned, in the same unit.
        keep: The seats reserved for each tenant.
    """

    feature: str
    seats: int
    kind: str
    since: int
    until: int
    linger: int
    drain: int
    keep: dict[str, int]
    line: int
    tenant_header: str = ""
    user_header: str = ""


def kind(text: str) -> str:
    """Checks that the word is a kind of seat and returns it unchanged."""
    if text not in KINDS:
        raise ValueError(f"{text!r}: {', '.join(KINDS)} is wanted")
    return text


def instant(text: str) -> tuple[int, bool]:
    """Returns Unix time in tenths of a millisecond, and whether the word is a whole day."""
    try:
        found = datetime.fromisoformat(text)
        if not re.fullmatch(r"\d{4}-\d\d-\d\d(T\d\d:\d\d(:\d\d)?)?", text):
            raise ValueError
    except ValueError:
        raise ValueError(f"{text!r} is no day or instant: 2026-12-31 or 2026-12-31T18:00 is wanted") from None
    return int(found.replace(tzinfo=UTC).timestamp()) * SECOND, len(text) == 10


def kept_seats(text: str) -> dict[str, int]:
    """Parses `TENANT=NUMBER,...` to the seats reserved for each tenant."""
    found: dict[str, int] = {}
    for pair in text.split(","):
        tenant, equals, number = pair.partition("=")
        if not equals:
            raise ValueError(f"{pair!r}: TENANT=NUMBER is wanted")
        if tenant in found:
            raise ValueError(f"{tenant} stands twice")
        found[words.name(tenant)] = words.count(number)
    return found


OPTIONS = {
    "kind": kind,
    "from": instant,
    "to": instant,
    "linger": words.span,
    "drain": words.span,
    "keep": kept_seats,
}
SINGLE = {"seat-tenant": (words.name, ""), "seat-user": (words.name, "")}


def on_seats(line: int, rest: list[str], reader: Reader) -> None:
    """Adds the contract of one feature and reports conflicts between its options."""
    if len(rest) < 2:
        # RPCs that need the feature are not reported as well.
        reader.first_lines.setdefault(("seats", "".join(rest)), line)
        raise ValueError("seats FEATURE NUMBER kind job|node|user ...")
    feature = reader.parse("seats", words.name, rest[0])
    reader.declare(line, "seats", feature)
    number = reader.parse("seats", words.count, rest[1])
    options = reader.options(line, rest[2:], OPTIONS)
    since, until = options.get("from", (0, True))[0], 0
    if "to" in options:
        until, whole_day = options["to"]
        until += int(timedelta(days=1).total_seconds()) * SECOND if whole_day else 0
        if until <= since:
            reader.report(line, f"seats {feature}: the contract ends before it begins")
    found = SeatsText(
        feature,
        number,
        options.get("kind", "job"),
        since,
        until,
        options.get("linger", 0),
        options.get("drain", DEFAULT_DRAIN),
        options.get("keep", {}),
        line,
    )
    if (kept := sum(found.keep.values())) > number:
        reader.report(line, f"seats {feature}: {kept} are kept for tenants, {number} are there")
    if found.linger and found.kind == "job":
        reader.report(
            line, f"seats {feature}: a job's seat is free once the job is over; linger is for node and user"
        )
    reader.collected(FleetText).parts.setdefault("seats", []).append(found)


def check(reader: Reader) -> None:
    """Checks that RPCs name contracted features, and that the headers for users and tenants are given."""
    seats = {found.feature: found for found in reader.collected(FleetText).parts.get("seats", [])}
    single = reader.values_of("directive", SINGLE)
    for rpc, (feature, line) in reader.collected(SidecarText).seats.items():
        if ("seats", feature) not in reader.first_lines:
            reader.report(line, f"rpc {rpc}: no line `seats {feature}` contracts any")
        elif feature in seats and seats[feature].kind == "user" and not single["seat-user"]:
            reader.report(
                line, f"rpc {rpc}: a seat for each user, and no line `seat-user` names their header"
            )
    for feature, found in seats.items():
        found.tenant_header, found.user_header = single["seat-tenant"], single["seat-user"]
        if found.keep and reader.collected(SidecarText).seats and not single["seat-tenant"]:
            reader.report(
                found.line,
                f"seats {feature}: some are kept for tenants, and no line `seat-tenant` names their header",
            )


VOCABULARY = Vocabulary({"seats": on_seats}, checks=(check,), single=SINGLE)
