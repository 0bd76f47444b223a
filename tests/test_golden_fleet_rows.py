"""Bodies of entries, reports, chained actions and names in `status` match tests/golden/fleet."""

import json
import runpy
from pathlib import Path

import msgspec
import pytest

from indigohitch.fleet.audit.chain import root_digest
from indigohitch.fleet.audit.files import KINDS, chain_files, decode_records, read_chains
from indigohitch.fleet.batches.sending import format_stamp
from indigohitch.fleet.node.assembly import parts
from indigohitch.fleet.types import Stamp

GOLDEN = Path(__file__).parent / "golden" / "fleet"
SCRIPT = runpy.run_path(str(GOLDEN / "write_rows.py"))
ROWS = json.loads((GOLDEN / "rows.json").read_text())
CLASSES = {
    "entries": {f"{part.name}.{word}": cls for part in parts() for word, cls in part.kinds.items()},
    "reports": SCRIPT["REPORTS"],
    "acts": SCRIPT["ACTS"],
}


@pytest.mark.parametrize("group", ROWS)
def test_a_row_is_decoded_and_encoded_again_byte_for_byte(group):
    assert CLASSES[group].keys() == ROWS[group].keys(), "a new kind gets a golden file of its own"
    for kind, written in ROWS[group].items():
        cls = CLASSES[group][kind]
        for least, data in zip((False, True), map(bytes.fromhex, written), strict=True):
            row = msgspec.msgpack.decode(data, type=cls)
            assert msgspec.msgpack.encode(row) == data, kind
            assert isinstance(msgspec.msgpack.decode(data, strict=False), list), kind
            assert row == SCRIPT["Filler"]().row(cls, least), kind


def test_names_in_status_match_the_golden_file():
    names = json.loads((GOLDEN / "told.json").read_text())
    assert json.loads(json.dumps(SCRIPT["told"]())) == names
    assert names["seats"]["counts"] == {"given": 1, "refused": 2, "no_lease": 3, "unheard": 4}
    assert names["wishes"] == [
        f"members.{word}" for word in ("shut_out", "gone", "compare", "agreed", "back", "in_force")
    ]


def test_a_stamp_has_the_form_that_servers_and_logs_record():
    assert format_stamp(Stamp("a", 4, 2, 300, 7)) == "a.4.2.300.7"


def test_chains_of_actions_are_decoded_and_encoded_again(tmp_path):
    folder = GOLDEN / "audit"
    records, errors = read_chains(folder)
    assert not errors and {incarnation: len(chain) for incarnation, chain in records.items()} == {
        1: 25,
        2: 15,
    }
    for incarnation, chain in records.items():
        previous_digest = root_digest("m", incarnation)
        for number, record in enumerate(chain, 1):
            assert record.previous_digest == previous_digest
            previous_digest = record.digest()
            assert (record.stamp.member, record.stamp.incarnation, record.stamp.number) == (
                "m",
                incarnation,
                number,
            )
            assert record.stamp.term == 3
            assert record.kind in ("seats.given", "batches.start", "relay.orders")
    first = records[1][0]
    assert (first.at, first.left, first.stamp.version) == (17_700_000_000_010, 899_990, 2)
    assert (records[2][-1].kind, records[2][0].about) == ("seats.given", b"d-7.25")
    assert len(chain_files(folder)) > 3
    for _, path in chain_files(folder):
        records_of_file, end, problem = decode_records(path.read_bytes())
        assert not problem and end == path.stat().st_size
        assert b"".join(KINDS.frame(record) for record in records_of_file) == path.read_bytes()


def test_the_script_writes_the_golden_files(tmp_path):
    SCRIPT["write"](tmp_path)
    for name in ("rows.json", "told.json"):
        assert (tmp_path / name).read_bytes() == (GOLDEN / name).read_bytes()
    written, golden = (
        {path.name: path.read_bytes() for path in (folder / "audit").iterdir()}
        for folder in (tmp_path, GOLDEN)
    )
    assert written == golden
