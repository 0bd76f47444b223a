"""Decides whether a handshake is accepted.  No I/O."""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from .messages import HIGHEST_PROTOCOL, LOWEST_PROTOCOL, MEMBER, SUBSCRIBER, Handshake, HandshakeAccepted

REMEDIES = {
    "another fleet": "its file names another fleet, or an address of this fleet",
    "no member": "list it in the files of all members, and reload these (SIGHUP)",
    "ourselves": "two files have the same member name, or list a member at its own address",
    "role": "its file lists a members' port as a distributor's, or the other way round",
    "protocol": "upgrade the older program, one version at a time",
    "an old disk": "its disk was replaced since: remove its folder and start it without one",
}

# Names from an unidentified connection are truncated to this length in the log.
MAX_LOGGED_NAME_CHARS = 64


class HandshakeRefusal(NamedTuple):
    """Why a handshake is refused, and the key of its remedy in `REMEDIES`; both empty if it is accepted."""

    why: str
    kind: str


ACCEPTED = HandshakeRefusal("", "")


def check_member(
    handshake: Handshake, fleet: str, own_name: str, names: Container[str], highest_number: int
) -> HandshakeRefusal:
    """Returns why a handshake at the members' port is refused, or `ACCEPTED`.

    Args:
        handshake: the peer's first message.
        fleet: name of this member's fleet.
        own_name: name of this member.
        names: names of the other members.
        highest_number: the highest number with which a member of the peer's name was ever seen here.
    """
    peer = handshake.who
    if handshake.fleet != fleet:
        return _other_fleet(handshake, fleet)
    if handshake.role != MEMBER:
        return HandshakeRefusal(
            f"{peer.name[:MAX_LOGGED_NAME_CHARS]} comes as {handshake.role[:MAX_LOGGED_NAME_CHARS]},"
            " this port is the members'",
            "role",
        )
    if peer.name == own_name:
        return HandshakeRefusal(f"{own_name} is this member", "ourselves")
    if peer.name not in names:
        return HandshakeRefusal(f"{peer.name[:MAX_LOGGED_NAME_CHARS]} is no member here", "no member")
    return check_version(handshake) or _check_number(handshake, highest_number)


def check_subscriber(handshake: Handshake, fleet: str) -> HandshakeRefusal:
    """Returns why a handshake at the subscribers' port is refused, or `ACCEPTED`."""
    if handshake.fleet != fleet:
        return _other_fleet(handshake, fleet)
    if handshake.role != SUBSCRIBER:
        return HandshakeRefusal(
            f"{handshake.who.name[:MAX_LOGGED_NAME_CHARS]} comes as {handshake.role[:MAX_LOGGED_NAME_CHARS]},"
            " this port is for subscribers",
            "role",
        )
    return check_version(handshake) or ACCEPTED


def check_version(handshake: Handshake) -> HandshakeRefusal | None:
    """Returns the refusal of a peer without a common protocol version, or None if there is one."""
    why = version_mismatch(handshake)
    return HandshakeRefusal(why, "protocol") if why else None


def version_mismatch(message: Handshake | HandshakeAccepted) -> str:
    """Returns why there is no common protocol version with the sender, or "" if there is one."""
    if message.lowest > HIGHEST_PROTOCOL or message.highest < LOWEST_PROTOCOL:
        return (
            f"speaks protocol {message.lowest} to {message.highest},"
            f" this program {LOWEST_PROTOCOL} to {HIGHEST_PROTOCOL}"
        )
    return ""


def _other_fleet(handshake: Handshake, fleet: str) -> HandshakeRefusal:
    return HandshakeRefusal(
        f"of fleet {handshake.fleet[:MAX_LOGGED_NAME_CHARS]}, this is {fleet}", "another fleet"
    )


def _check_number(handshake: Handshake, highest_number: int) -> HandshakeRefusal:
    """Refuses a peer with a lower number than before: it runs on an older disk, which was replaced since."""
    peer = handshake.who
    if 0 < peer.number < highest_number:
        why = f"{peer.name} has been here as number {highest_number}, and comes as {peer.number}"
        return HandshakeRefusal(why, "an old disk")
    return ACCEPTED
