"""What must hold across the lines of a sidecar's file."""

from __future__ import annotations

from .fleet import FleetText
from .lines import Reader
from .texts import Carried


def listens(reader: Reader) -> None:
    where = reader.given["directive"].get("listen")
    if ("directive", "listen") not in reader.lines:
        reader.wrong(reader.end, "no line says where to listen")
    for member in reader.found(FleetText).members.values():
        if where is not None and member.address == where:
            reader.wrong(member.line, "the sidecar listens for its clients at this address")


def every_pool_has_a_server(reader: Reader) -> None:
    carried = reader.found(Carried)
    for pool in carried.pools.values():
        if not pool.servers and pool.name not in carried.wanted:
            reader.wrong(pool.line, f"pool {pool.name} has no server")


def something_is_served(reader: Reader) -> None:
    """Told only alone: a route's own mistake is the cause else."""
    if not reader.found(Carried).routes.all and not reader.mistakes:
        reader.wrong(reader.end, "no route: nothing would be served")


def sidecar_only_follows(reader: Reader) -> None:
    """It is many, small and restarted often: votes stand with the coordinators."""
    fleet = reader.found(FleetText)
    me = fleet.members.get(fleet.me)
    if me is not None and me.votes:
        reader.wrong(me.line, f"{me.name} is a sidecar, which only `follows`")


CHECKS = (listens, every_pool_has_a_server, sidecar_only_follows, something_is_served)
