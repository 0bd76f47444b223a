"""Records of a member changed, taken out, doubled, swapped or harmed afterwards, in a copy of its folder."""

from __future__ import annotations

import random
import shutil
from collections.abc import Callable
from pathlib import Path

import msgspec

from indigohitch.fleet.audit.chain import Record
from indigohitch.fleet.audit.files import KINDS, chain_files, read_chains

KINDS_OF = ("changed", "removed", "doubled", "swapped", "cut", "harmed", "forged", "lost")


def tampered(folder: Path, copy: Path, most: Callable[[int], int], how: str, chance: random.Random) -> str:
    """A copy of the folder with something done to records that the ledger knows: of an incarnation the first
    `most(incarnation)`.  What was done; "" where there is nothing to do it to."""
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(folder, copy)
    found, _ = read_chains(copy)
    fit = [incarnation for incarnation, records in found.items() if len(records[: most(incarnation)]) >= 3]
    if not fit:
        return ""
    incarnation = chance.choice(fit)
    paths = [path for (one, _), path in chain_files(copy) if one == incarnation]
    records, known = found[incarnation], most(incarnation)
    n = chance.randrange(known - 1)
    if how == "lost":
        for path in paths:
            path.unlink()
    elif how == "harmed":
        data = bytearray(paths[0].read_bytes())
        data[len(data) * n // known] ^= 0x20
        paths[0].write_bytes(data)
    else:
        write(paths, altered(records, n, known, how, chance))
    return f"{how} {n + 1} of {known} in {incarnation}"


def altered(records: list[Record], n: int, known: int, how: str, chance: random.Random) -> list[Record]:
    records = list(records)
    match how:
        case "changed":
            records[n] = msgspec.structs.replace(records[n], about=b"another")
        case "removed":
            del records[n]
        case "doubled":
            records.insert(n, records[n])
        case "swapped":
            m = (n + chance.randint(1, known - 1)) % known
            records[n], records[m] = records[m], records[n]
        case "cut":
            del records[n:]
        case "forged":  # and the whole chain after it made anew, as it should be
            records[n] = msgspec.structs.replace(records[n], at=records[n].at + 1)
            for i in range(n + 1, len(records)):
                records[i] = msgspec.structs.replace(records[i], previous_digest=records[i - 1].digest())
    return records


def write(paths: list[Path], records: list[Record]) -> None:
    """All into the first file of that incarnation."""
    paths[0].write_bytes(b"".join(map(KINDS.frame, records)))
    for path in paths[1:]:
        path.unlink()
