"""The directives of scoped distribution (docs/distribution-operators.md).

    distributor d1 10.0.0.1:7500
    distributor d2 10.0.0.2:7500
    subscribe vacancies maps

The `distributor` lines are the same in all files: each member that one of them names listens there for
subscribers.  A file with `subscribe` lines belongs to a subscriber: it has `name`, `fleet` and `distributor`
lines and no members.
"""

from __future__ import annotations

from . import words
from .fleet import DistributorText, FleetText
from .lines import Reader, Vocabulary

MAX_SERVICES = 512  # per scope; a distributor accepts no more


def on_distributor(line: int, rest: list[str], reader: Reader) -> None:
    """Declares a distributor; each needs an address of its own."""
    if len(rest) != 2:
        raise ValueError("distributor NAME HOST:PORT")
    name = reader.parse("distributor", words.name, rest[0])
    address = reader.parse("distributor", words.place, rest[1])
    reader.declare(line, "distributor", name)
    distributors = reader.collected(FleetText).distributors
    duplicate = next((one for one in distributors.values() if one.address == address), None)
    if duplicate is not None:
        raise ValueError(f"distributor {duplicate.name} in line {duplicate.line} has the same address")
    distributors[name] = DistributorText(name, address, line)


def on_subscribe(line: int, rest: list[str], reader: Reader) -> None:
    """Adds services to which this process subscribes; each may be named once."""
    if not rest:
        raise ValueError("subscribe SERVICE ...")
    reader.first_lines.setdefault(("subscribe", ""), line)
    services = reader.collected(FleetText).services
    for text in rest:
        name = reader.report_errors(line, reader.parse, "subscribe", words.name, text)
        if name is not None:
            reader.report_errors(line, reader.declare, line, "service", name)
            services.append(name)


def check(reader: Reader) -> None:
    """Checks the lines of a member or of a subscriber; either needs a line `fleet`."""
    fleet = reader.collected(FleetText)
    first_distributor = min((one.line for one in fleet.distributors.values()), default=0)
    first_subscribe = reader.first_lines.get(("subscribe", ""), 0)
    if not fleet.name:
        for line, word in ((first_distributor, "distributor"), (first_subscribe, "subscribe")):
            if line:
                reader.report(line, f"{word} without a line `fleet`")
    elif first_subscribe:
        check_subscriber(reader, fleet, first_subscribe)
    else:
        check_distributors(reader, fleet)


def check_subscriber(reader: Reader, fleet: FleetText, line: int) -> None:
    """Reports what a subscriber's file lacks or must not have; `line` is its first `subscribe` line."""
    if ("directive", "name") not in reader.first_lines:
        reader.report(fleet.line, "no line `name` says which subscriber this is")
    if not any(kind == "distributor" for kind, _ in reader.first_lines):
        reader.report(line, "no line `distributor` says at whom to subscribe")
    if len(fleet.services) > MAX_SERVICES:
        reader.report(line, f"{len(fleet.services)} services: a distributor takes {MAX_SERVICES} at most")
    for member in fleet.members.values():
        reader.report(member.line, "a subscriber is no member: take this line out, or those with `subscribe`")
    if ("directive", "ledger") in reader.first_lines:
        reader.report(
            reader.first_lines["directive", "ledger"], "a subscriber keeps no ledger: take this line out"
        )
    if ("directive", "listen") in reader.first_lines:
        reader.report(line, "a sidecar can't subscribe yet: it is a member that `follows`")


def check_distributors(reader: Reader, fleet: FleetText) -> None:
    """Reports distributors that are no members, or that share an address with a member."""
    member_by_address = {member.address: member.name for member in fleet.members.values()}
    for one in fleet.distributors.values():
        if one.name not in fleet.members:
            reader.report(one.line, f"distributor {one.name} is no member of fleet {fleet.name}")
        if one.address in member_by_address:
            reader.report(
                one.line, f"member {member_by_address[one.address]} listens for members at this address"
            )


VOCABULARY = Vocabulary({"distributor": on_distributor, "subscribe": on_subscribe}, checks=(check,))
