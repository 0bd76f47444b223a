"""The directives of licence seats.

    edition 3
    seats geocoder 40 kind job from 2026-01-01 to 2026-12-31 drain 10s keep urgent=4,schools=2
    seats reader 6 kind user linger 2s
    seat-tenant X-Tenant
    seat-user X-User
    rpc address-search idempotent deadline 2s seat geocoder

`kind`: one seat for each `job` (RPC), each `node` (server), or each `user` of a tenant.  Days are of UTC, the
last one belongs to the contract; an instant is written as 2026-12-31T18:00."""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from ..net.clock import SECOND
from . import words
from .fleet import FleetText
from .lines import Reader, Vocabulary
from .texts import Carried

KINDS = ("job", "node", "user")
# Long enough for what a node or user is at (users' RPCs end within seconds), short for who waits for the cut.
DRAIN = 30 * SECOND


@dataclass(slots=True)
class SeatsText:
    """`since`, `until`: Unix time in tenths of a ms, 0: open."""

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
    if text not in KINDS:
        raise ValueError(f"{text!r}: {', '.join(KINDS)} is wanted")
    return text


def instant(text: str) -> tuple[int, bool]:
    """Unix time in tenths of a ms, and whether a whole day was named."""
    try:
        found = datetime.fromisoformat(text)
        if not re.fullmatch(r"\d{4}-\d\d-\d\d(T\d\d:\d\d(:\d\d)?)?", text):
            raise ValueError
    except ValueError:
        raise ValueError(f"{text!r} is no day or instant: 2026-12-31 or 2026-12-31T18:00 is wanted") from None
    return int(found.replace(tzinfo=UTC).timestamp()) * SECOND, len(text) == 10


def kept(text: str) -> dict[str, int]:
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
    "keep": kept,
}
SINGLE = {"seat-tenant": (words.name, ""), "seat-user": (words.name, "")}


def on_seats(at: int, rest: list[str], reader: Reader) -> None:
    if len(rest) < 2:
        reader.lines.setdefault(("seats", "".join(rest)), at)  # who needs it is not told that it is missing
        raise ValueError("seats FEATURE NUMBER kind job|node|user ...")
    feature = reader.told("seats", words.name, rest[0])
    reader.once(at, "seats", feature)
    number = reader.told("seats", words.count, rest[1])
    told = reader.options(at, rest[2:], OPTIONS)
    since, until = told.get("from", (0, True))[0], 0
    if "to" in told:
        until, day = told["to"]
        until += int(timedelta(days=1).total_seconds()) * SECOND if day else 0
        if until <= since:
            reader.wrong(at, f"seats {feature}: the contract ends before it begins")
    found = SeatsText(
        feature,
        number,
        told.get("kind", "job"),
        since,
        until,
        told.get("linger", 0),
        told.get("drain", DRAIN),
        told.get("keep", {}),
        at,
    )
    if (own := sum(found.keep.values())) > number:
        reader.wrong(at, f"seats {feature}: {own} are kept for tenants, {number} are there")
    if found.linger and found.kind == "job":
        reader.wrong(
            at, f"seats {feature}: a job's seat is free once the job is over; linger is for node and user"
        )
    reader.found(FleetText).parts.setdefault("seats", []).append(found)


def check(reader: Reader) -> None:
    seats = {found.feature: found for found in reader.found(FleetText).parts.get("seats", [])}
    single = reader.picked("directive", SINGLE)
    for rpc, (feature, line) in reader.found(Carried).seats.items():
        if ("seats", feature) not in reader.lines:
            reader.wrong(line, f"rpc {rpc}: no line `seats {feature}` contracts any")
        elif feature in seats and seats[feature].kind == "user" and not single["seat-user"]:
            reader.wrong(line, f"rpc {rpc}: a seat for each user, and no line `seat-user` names their header")
    for feature, found in seats.items():
        found.tenant_header, found.user_header = single["seat-tenant"], single["seat-user"]
        if found.keep and reader.found(Carried).seats and not single["seat-tenant"]:
            reader.wrong(
                found.line,
                f"seats {feature}: some are kept for tenants, and no line `seat-tenant` names their header",
            )


VOCABULARY = Vocabulary({"seats": on_seats}, checks=(check,), single=SINGLE)
