"""The identity file, which says to which member a disk belongs; JSON that people can read."""

from __future__ import annotations

import msgspec

from ...encoding.rows import digest
from ...errors import InvalidDataError

FORMAT_VERSION = 1


class Identity(msgspec.Struct):
    """Fleet, name and number of a member; `name=` is the key of a field in the file.

    `number` 0: not a member yet.  `founders`: names of the first voters of the cluster.  `seen_numbers`: the
    highest number that was ever seen of each other name, so that no number is assigned twice.
    """

    fleet: str = msgspec.field(name="fleet")
    name: str = msgspec.field(name="name")
    number: int = msgspec.field(default=0, name="number")
    founders: tuple[str, ...] = msgspec.field(default=(), name="founders")
    seen_numbers: dict[str, int] = msgspec.field(default_factory=dict, name="met")
    form: int = msgspec.field(default=FORMAT_VERSION, name="form")
    # Checksum of all other fields: with a changed number, a member whose disk was lost could vote again.
    check: str = msgspec.field(default="", name="check")

    def checksum(self) -> str:
        """Returns the checksum of all fields but `check`, in hexadecimal."""
        seen_numbers = dict(sorted(self.seen_numbers.items()))
        unchecked = Identity(self.fleet, self.name, self.number, self.founders, seen_numbers, self.form)
        return digest(msgspec.json.encode(unchecked)).hex()


def encode(identity: Identity) -> bytes:
    """Returns the content of the identity file, with its checksum; sorts `identity.seen_numbers`."""
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
    """Decodes the identity file; raises InvalidDataError if it is malformed or its checksum differs."""
    try:
        identity = msgspec.json.decode(data, type=Identity)
    except msgspec.MsgspecError as error:
        raise InvalidDataError(f"the identity file can't be decoded: {error}", where) from None
    if identity.check != identity.checksum():
        raise InvalidDataError("checksum mismatch: the identity file was changed after it was written", where)
    return identity
