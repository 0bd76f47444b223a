"""Frames of links between members and of subscriptions match tests/golden/fleet byte for byte."""

import json
import runpy
from pathlib import Path

import msgspec
import pytest

from indigohitch.encoding.frames import FrameDecoder

GOLDEN = Path(__file__).parent / "golden" / "fleet"
SCRIPT = runpy.run_path(str(GOLDEN / "write_frames.py"))
TABLES, plain = SCRIPT["TABLES"], SCRIPT["plain"]
COUNTS = {"frames-members": 22, "frames-subscribers": 13}


def lines(name):
    return json.loads((GOLDEN / f"{name}.json").read_text())


@pytest.mark.parametrize("name", TABLES)
def test_a_frame_is_decoded_and_encoded_again_byte_for_byte(name):
    kinds, messages = TABLES[name]
    for line, message in zip(lines(name), messages, strict=True):
        data = bytes.fromhex(line["frame"])
        ((row, descriptors),) = FrameDecoder(kinds).feed(data)
        assert descriptors == 0 and kinds.numbers[type(row)] == line["number"]
        assert plain(row) == line["values"]
        assert kinds.frame(row) == data
        assert plain(message) == line["values"] and kinds.frame(message) == data
        assert type(row) is type(message)
        for field in row.__struct_fields__:
            assert plain(getattr(row, field)) == plain(getattr(message, field)), field


@pytest.mark.parametrize("name", TABLES)
def test_each_message_type_has_a_frame_and_keeps_its_number(name):
    kinds, _ = TABLES[name]
    numbers = [line["number"] for line in lines(name)]
    assert set(numbers) == set(range(COUNTS[name])), "the golden file was changed"
    assert len(kinds.rows) == COUNTS[name], (
        "a new message type goes to the end, and gets a golden file of its own"
    )


@pytest.mark.parametrize("name", TABLES)
def test_fields_are_encoded_by_position(name):
    """The body of a message is an array, so that no field name is on the wire."""
    for line in lines(name):
        body = bytes.fromhex(line["frame"])[20:]
        assert isinstance(msgspec.msgpack.decode(body), list)


def test_the_script_writes_the_golden_files(tmp_path):
    SCRIPT["write"](tmp_path)
    written = sorted(path.name for path in tmp_path.iterdir())
    assert written == sorted(f"{name}.json" for name in TABLES)
    for name in written:
        assert (tmp_path / name).read_bytes() == (GOLDEN / name).read_bytes()
