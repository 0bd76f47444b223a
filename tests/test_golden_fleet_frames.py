"""Frames between members, and to subscribers, are the bytes that were written down (tests/golden/fleet)."""

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
def test_a_frame_is_read_and_written_again_byte_for_byte(name):
    kinds, words = TABLES[name]
    for line, word in zip(lines(name), words, strict=True):
        data = bytes.fromhex(line["frame"])
        ((row, descriptors),) = FrameDecoder(kinds).feed(data)
        assert descriptors == 0 and kinds.numbers[type(row)] == line["number"]
        assert plain(row) == line["values"]
        assert kinds.frame(row) == data
        assert plain(word) == line["values"] and kinds.frame(word) == data
        assert type(row) is type(word)
        for field in row.__struct_fields__:
            assert plain(getattr(row, field)) == plain(getattr(word, field)), field


@pytest.mark.parametrize("name", TABLES)
def test_each_number_has_a_frame_and_keeps_it(name):
    kinds, _ = TABLES[name]
    numbers = [line["number"] for line in lines(name)]
    assert set(numbers) == set(range(COUNTS[name])), "the golden file was changed"
    assert len(kinds.rows) == COUNTS[name], "a new word is at the end, and gets a golden file of its own"


@pytest.mark.parametrize("name", TABLES)
def test_fields_stand_by_their_place(name):
    """A word's body is a list, so that no field's name is on the wire."""
    for line in lines(name):
        body = bytes.fromhex(line["frame"])[20:]
        assert isinstance(msgspec.msgpack.decode(body), list)


def test_the_script_writes_the_same_files(tmp_path):
    SCRIPT["write"](tmp_path)
    written = sorted(path.name for path in tmp_path.iterdir())
    assert written == sorted(f"{name}.json" for name in TABLES)
    for name in written:
        assert (tmp_path / name).read_bytes() == (GOLDEN / name).read_bytes()
