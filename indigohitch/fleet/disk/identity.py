"""Who the disk belongs to, as a file that people can read."""

from __future__ import annotations

import msgspec

from ...errors import Unreadable
from ...packed.rows import digest

FORM = 1


class Identity(msgspec.Struct):
    """`number` 0: not a member yet.  `founders`: the voters at the founding, by name.  `met`: the highest
    number ever met of each other name, so that none is used twice."""

    fleet: str
    name: str
    number: int = 0
    founders: tuple[str, ...] = ()
    met: dict[str, int] = {}
    form: int = FORM
    check: str = ""  # of all else: a changed number would let a lost disk vote again

    def checked(self) -> str:
        bare = msgspec.structs.replace(self, check="", met=dict(sorted(self.met.items())))
        return digest(msgspec.json.encode(bare)).hex()


def encode(identity: Identity) -> bytes:
    identity.met = dict(sorted(identity.met.items()))
    return (
        msgspec.json.format(msgspec.json.encode(msgspec.structs.replace(identity, check=identity.checked())))
        + b"\n"
    )


def decode(data: bytes, where: str) -> Identity:
    """Raises Unreadable."""
    try:
        found = msgspec.json.decode(data, type=Identity)
    except msgspec.MsgspecError as bad:
        raise Unreadable(f"not an identity: {bad}", where) from None
    if found.check != found.checked():
        raise Unreadable("it was changed since it was written", where)
    return found
