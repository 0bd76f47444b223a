"""Checks that span several lines of a sidecar's file."""

from __future__ import annotations

from .fleet import FleetText
from .lines import Reader
from .texts import SidecarText


def listens(reader: Reader) -> None:
    """Reports a file without `listen`, and a fleet member that has the sidecar's own listen address."""
    listen_address = reader.given["directive"].get("listen")
    if ("directive", "listen") not in reader.first_lines:
        reader.report(reader.last_line, "no line says where to listen")
    for member in reader.collected(FleetText).members.values():
        if listen_address is not None and member.address == listen_address:
            reader.report(member.line, "the sidecar listens for its clients at this address")


def every_pool_has_a_server(reader: Reader) -> None:
    """Reports pools that no `server` line names; a faulty `server` line counts, as it is reported itself."""
    sidecar = reader.collected(SidecarText)
    for pool in sidecar.pools.values():
        if not pool.servers and pool.name not in sidecar.named_pools:
            reader.report(pool.line, f"pool {pool.name} has no server")


def something_is_served(reader: Reader) -> None:
    """Reports a file without routes, unless there are other mistakes: a faulty route may be the cause."""
    if not reader.collected(SidecarText).routes.all and not reader.mistakes:
        reader.report(reader.last_line, "no route: nothing would be served")


def sidecar_only_follows(reader: Reader) -> None:
    """Reports a sidecar that votes.

    Sidecars are numerous, small and restarted often, so only coordinators vote.
    """
    fleet = reader.collected(FleetText)
    own_member = fleet.members.get(fleet.me)
    if own_member is not None and own_member.votes:
        reader.report(own_member.line, f"{own_member.name} is a sidecar, which only `follows`")


CHECKS = (listens, every_pool_has_a_server, sidecar_only_follows, something_is_served)
