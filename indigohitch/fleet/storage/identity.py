"""The member that a disk belongs to, as a file that people can read."""

from __future__ import annotations

import msgspec

from ...encoding.rows import digest
from ...errors import InvalidDataError

FORM = 1


class Identity(msgspec.Struct):
    """Fleet, name and number of a member; the names of the keys in the file are given beside the fields.

    `number` 0: not a member yet.  `founders`: the voters of the new cluster, by name.  `seen_numbers`: the
    highest number that was ever seen of each other name, so that none is used twice.
    """

    fleet: str = msgspec.field(name="fleet")
    name: str = msgspec.field(name="name")
    number: int = msgspec.field(default=0, name="number")
    founders: tuple[str, ...] = msgspec.field(default=(), name="founders")
    seen_numbers: dict[str, int] = msgspec.field(default_factory=dict, name="met")
    form: int = msgspec.field(default=FORM, name="form")
    # Of all else: a changed number would let a lost disk vote again.
    check: str = msgspec.field(default="", name="check")

    def checksum(self) -> str:
        """Returns the checksum of all fields but `check`."""
        seen_numbers = dict(sorted(self.seen_numbers.items()))
        unchecked = Identity(self.fleet, self.name, self.number, self.founders, seen_numbers, self.form)
        return digest(msgspec.json.encode(unchecked)).hex()


def encode(identity: Identity) -> bytes:
    """Returns the content of the identity file."""
    identity.seen_numbers = dict(sorted(identity.seen_numbers.items()))
    checked = Identity(
        identity.fleet,
        identity.name,
        identity.number,
        identity.founders,
        identity.seen_numbers,
        identity.form,
        identity.checksum(),
    )
    return msgspec.json.format(msgspec.json.encode(checked)) + b"\n"


def decode(data: bytes, where: str) -> Identity:
    """Reads the content of the identity file; raises InvalidDataError."""
    try:
        identity = msgspec.json.decode(data, type=Identity)
    except msgspec.MsgspecError as error:
        raise InvalidDataError(f"not an identity: {error}", where) from None
    if identity.check != identity.checksum():
        raise InvalidDataError("it was changed since it was written", where)
    return identity
