"""Whether one who greets may speak.  No I/O."""

from __future__ import annotations

from collections.abc import Container

from .messages import HIGHEST, LOWEST, MEMBER, SUBSCRIBER, Handshake, HandshakeAccepted

REMEDIES = {
    "another fleet": "its file names another fleet, or an address of ours",
    "no member": "name it in the files of all members, and let them read these again (SIGHUP)",
    "ourselves": "two files bear the same name, or a member's address is its own",
    "role": "its file names a member's port as a distributor's, or the other way round",
    "protocol": "bring the older program up by one version at a time",
    "an old disk": "its disk was replaced since: take its folder away and start it without",
}


def refused(greeting: Handshake, fleet: str, me: str, names: Container[str], met: int) -> tuple[str, str]:
    """Why, and its kind in REMEDIES; two empty texts where it is welcome.  `met`: the highest number ever met
    of that name."""
    who = greeting.who
    if greeting.fleet != fleet:
        return f"of fleet {greeting.fleet[:64]}, this is {fleet}", "another fleet"
    if greeting.role != MEMBER:
        return f"{who.name[:64]} comes as {greeting.role[:64]}, this port is the members'", "role"
    if who.name == me:
        return f"{me} is this member", "ourselves"
    if who.name not in names:
        return f"{who.name[:64]} is no member here", "no member"
    if why := version_mismatch(greeting):
        return why, "protocol"
    if 0 < who.number < met:
        return f"{who.name} has been here as number {met}, and comes as {who.number}", "an old disk"
    return "", ""


def refused_subscriber(greeting: Handshake, fleet: str) -> tuple[str, str]:
    """Why it may not subscribe, and its kind in REMEDIES; two empty texts where it may."""
    if greeting.fleet != fleet:
        return f"of fleet {greeting.fleet[:64]}, this is {fleet}", "another fleet"
    if greeting.role != SUBSCRIBER:
        return f"{greeting.who.name[:64]} comes as {greeting.role[:64]}, this port is for subscribers", "role"
    if why := version_mismatch(greeting):
        return why, "protocol"
    return "", ""


def version_mismatch(word: Handshake | HandshakeAccepted) -> str:
    """Why there is no protocol that both understand."""
    if word.lowest > HIGHEST or word.highest < LOWEST:
        return f"speaks protocol {word.lowest} to {word.highest}, this program {LOWEST} to {HIGHEST}"
    return ""
