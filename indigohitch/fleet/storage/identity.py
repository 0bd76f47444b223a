"""Who the disk belongs to, as a file that people can read."""

from __future__ import annotations

import msgspec

from ...encoding.rows import digest
from ...errors import InvalidDataError

FORM = 1


class Identity(msgspec.Struct):
    """`number` 0: not a member yet.  `founders`: the voters at the founding, by name.  `met`: the highest
    number ever met of each other name, so that none is used twice.  The names in the file stand here beside
    the fields, and stay as they are."""

    fleet: str = msgspec.field(name="fleet")
    name: str = msgspec.field(name="name")
    number: int = msgspec.field(default=0, name="number")
    founders: tuple[str, ...] = msgspec.field(default=(), name="founders")
    seen_numbers: dict[str, int] = msgspec.field(default_factory=dict, name="met")
    form: int = msgspec.field(default=FORM, name="form")
    # of all else: a changed number would let a lost disk vote again
    check: str = msgspec.field(default="", name="check")

    def checked(self) -> str:
        met = dict(sorted(self.seen_numbers.items()))
        bare = Identity(self.fleet, self.name, self.number, self.founders, met, self.form)
        return digest(msgspec.json.encode(bare)).hex()


def encode(identity: Identity) -> bytes:
    one = identity
    one.seen_numbers = dict(sorted(one.seen_numbers.items()))
    whole = Identity(one.fleet, one.name, one.number, one.founders, one.seen_numbers, one.form, one.checked())
    return msgspec.json.format(msgspec.json.encode(whole)) + b"\n"


def decode(data: bytes, where: str) -> Identity:
    """Raises Unreadable."""
    try:
        found = msgspec.json.decode(data, type=Identity)
    except msgspec.MsgspecError as bad:
        raise InvalidDataError(f"not an identity: {bad}", where) from None
    if found.check != found.checked():
        raise InvalidDataError("it was changed since it was written", where)
    return found
