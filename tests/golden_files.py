"""Golden files: where they are, and values as JSON in one fixed form."""

from __future__ import annotations

from pathlib import Path

import orjson

FOLDER = Path(__file__).parent / "golden" / "files"


def golden(name: str) -> bytes:
    """A golden file's bytes; `name`: with its part, as "versions/words.json"."""
    return (FOLDER / name).read_bytes()


def plain(value: object) -> object:
    """With bytes as hex and keys as text, so that it can be written as JSON."""
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {str(key): plain(one) for key, one in value.items()}
    if isinstance(value, (list, tuple)):
        return [plain(one) for one in value]
    return value


def as_json(values: object) -> bytes:
    """Keys keep the order in which they are given, since that is the order on the wire."""
    return orjson.dumps(plain(values), option=orjson.OPT_INDENT_2) + b"\n"
