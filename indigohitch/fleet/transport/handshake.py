"""Whether a handshake is accepted.  No I/O."""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from .messages import HIGHEST, LOWEST, MEMBER, SUBSCRIBER, Handshake, HandshakeAccepted

REMEDIES = {
    "another fleet": "its file names another fleet, or an address of ours",
    "no member": "name it in the files of all members, and let them read these again (SIGHUP)",
    "ourselves": "two files bear the same name, or a member's address is its own",
    "role": "its file names a member's port as a distributor's, or the other way round",
    "protocol": "bring the older program up by one version at a time",
    "an old disk": "its disk was replaced since: take its folder away and start it without",
}

# Names from an unidentified connection are cut to this many characters in the log.
MAX_LOGGED_NAME = 64


class HandshakeRefusal(NamedTuple):
    """Why a handshake is refused, and the key of that in `REMEDIES`; both are empty if it is accepted."""

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
        highest_number: the highest number that a member of the peer's name has ever had here.
    """
    peer = handshake.who
    if handshake.fleet != fleet:
        return _other_fleet(handshake, fleet)
    if handshake.role != MEMBER:
        return HandshakeRefusal(
            f"{peer.name[:MAX_LOGGED_NAME]} comes as {handshake.role[:MAX_LOGGED_NAME]},"
            " this port is the members'",
            "role",
        )
    if peer.name == own_name:
        return HandshakeRefusal(f"{own_name} is this member", "ourselves")
    if peer.name not in names:
        return HandshakeRefusal(f"{peer.name[:MAX_LOGGED_NAME]} is no member here", "no member")
    return check_version(handshake) or _check_number(handshake, highest_number)


def check_subscriber(handshake: Handshake, fleet: str) -> HandshakeRefusal:
    """Returns why a handshake at the subscribers' port is refused, or `ACCEPTED`."""
    if handshake.fleet != fleet:
        return _other_fleet(handshake, fleet)
    if handshake.role != SUBSCRIBER:
        return HandshakeRefusal(
            f"{handshake.who.name[:MAX_LOGGED_NAME]} comes as {handshake.role[:MAX_LOGGED_NAME]},"
            " this port is for subscribers",
            "role",
        )
    return check_version(handshake) or ACCEPTED


def check_version(handshake: Handshake) -> HandshakeRefusal | None:
    """Returns the refusal of a peer that shares no protocol version with this program, else None."""
    why = version_mismatch(handshake)
    return HandshakeRefusal(why, "protocol") if why else None


def version_mismatch(message: Handshake | HandshakeAccepted) -> str:
    """Returns why no protocol version is shared with the sender; empty if one is."""
    if message.lowest > HIGHEST or message.highest < LOWEST:
        return f"speaks protocol {message.lowest} to {message.highest}, this program {LOWEST} to {HIGHEST}"
    return ""


def _other_fleet(handshake: Handshake, fleet: str) -> HandshakeRefusal:
    return HandshakeRefusal(f"of fleet {handshake.fleet[:MAX_LOGGED_NAME]}, this is {fleet}", "another fleet")


def _check_number(handshake: Handshake, highest_number: int) -> HandshakeRefusal:
    """A lower number than before means that the peer's disk has been replaced by an older one."""
    peer = handshake.who
    if 0 < peer.number < highest_number:
        why = f"{peer.name} has been here as number {highest_number}, and comes as {peer.number}"
        return HandshakeRefusal(why, "an old disk")
    return ACCEPTED
