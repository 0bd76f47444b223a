"""The directives of scoped distribution (docs/distribution-operators.md).

    distributor d1 10.0.0.1:7500
    distributor d2 10.0.0.2:7500
    subscribe vacancies maps

`distributor` lines are the same in all files: a member named in one listens there for subscribers.  A file
with `subscribe` lines is a subscriber's: it has `name`, `fleet` and `distributor` lines, and no members."""

from __future__ import annotations

from . import words
from .fleet import DistributorText, FleetText
from .lines import Reader, Vocabulary

SERVICES_MOST = 512  # of one scope: as many as a distributor takes


def on_distributor(at: int, rest: list[str], reader: Reader) -> None:
    if len(rest) != 2:
        raise ValueError("distributor NAME HOST:PORT")
    name = reader.told("distributor", words.name, rest[0])
    address = reader.told("distributor", words.place, rest[1])
    reader.once(at, "distributor", name)
    distributors = reader.found(FleetText).distributors
    same = next((one for one in distributors.values() if one.address == address), None)
    if same is not None:
        raise ValueError(f"distributor {same.name} in line {same.line} has the same address")
    distributors[name] = DistributorText(name, address, at)


def on_subscribe(at: int, rest: list[str], reader: Reader) -> None:
    if not rest:
        raise ValueError("subscribe SERVICE ...")
    reader.lines.setdefault(("subscribe", ""), at)
    services = reader.found(FleetText).services
    for text in rest:
        name = reader.guarded(at, reader.told, "subscribe", words.name, text)
        if name is not None:
            reader.guarded(at, reader.once, at, "service", name)
            services.append(name)


def check(reader: Reader) -> None:
    fleet = reader.found(FleetText)
    first = min((one.line for one in fleet.distributors.values()), default=0)
    subscribes = reader.lines.get(("subscribe", ""), 0)
    if not fleet.name:
        for line, word in ((first, "distributor"), (subscribes, "subscribe")):
            if line:
                reader.wrong(line, f"{word} without a line `fleet`")
    elif subscribes:
        check_subscriber(reader, fleet, subscribes)
    else:
        check_distributors(reader, fleet)


def check_subscriber(reader: Reader, fleet: FleetText, line: int) -> None:
    if ("directive", "name") not in reader.lines:
        reader.wrong(fleet.line, "no line `name` says which subscriber this is")
    if not any(kind == "distributor" for kind, _ in reader.lines):
        reader.wrong(line, "no line `distributor` says at whom to subscribe")
    if len(fleet.services) > SERVICES_MOST:
        reader.wrong(line, f"{len(fleet.services)} services: a distributor takes {SERVICES_MOST} at most")
    for member in fleet.members.values():
        reader.wrong(member.line, "a subscriber is no member: take this line out, or those with `subscribe`")
    if ("directive", "ledger") in reader.lines:
        reader.wrong(reader.lines["directive", "ledger"], "a subscriber keeps no ledger: take this line out")
    if ("directive", "listen") in reader.lines:
        reader.wrong(line, "a sidecar can't subscribe yet: it is a member that `follows`")


def check_distributors(reader: Reader, fleet: FleetText) -> None:
    taken = {member.address: member.name for member in fleet.members.values()}
    for one in fleet.distributors.values():
        if one.name not in fleet.members:
            reader.wrong(one.line, f"distributor {one.name} is no member of fleet {fleet.name}")
        if one.address in taken:
            reader.wrong(one.line, f"member {taken[one.address]} listens for members at this address")


VOCABULARY = Vocabulary({"distributor": on_distributor, "subscribe": on_subscribe}, checks=(check,))
