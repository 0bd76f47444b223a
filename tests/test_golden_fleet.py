"""Golden folders of a member (tests/golden/fleet): recovered, replayed, and encoded again byte for byte.

They guard against a change of the stored formats, or of what an entry does to the replicated state.
"""

import json
import runpy
import shutil
from pathlib import Path

import msgspec
import pytest

from disks import Bench, held
from indigohitch.fleet.node.assembly import parts
from indigohitch.fleet.raft.interfaces import HardState, Snapshot
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.storage import identity, snapshots
from indigohitch.fleet.storage.records import RECORDS, read_records
from indigohitch.fleet.types import MemberId

GOLDEN = Path(__file__).parent / "golden" / "fleet"
ENTRIES = json.loads((GOLDEN / "entries.json").read_text())
SNAPSHOT = {"member": 39, "member-log": 0}  # by folder: index of the entry at which its snapshot was taken


def files(folder):
    return {path.name: path.read_bytes() for path in folder.iterdir() if path.name != "lock"}


@pytest.fixture(params=SNAPSHOT)
def name(request):
    return request.param


@pytest.fixture
def recovered(name, tmp_path):
    """Returns what the storage recovers from a copy of the folder; it must not change any file."""
    shutil.copytree(GOLDEN / name, tmp_path / name)
    recovered_state = held(tmp_path / name)
    assert files(tmp_path / name) == files(GOLDEN / name)
    return recovered_state


def test_a_recovered_folder_is_replayed_to_the_same_state(name, recovered):
    assert recovered.hard_state == HardState(3, MemberId("b", 2))
    assert recovered.snapshot.index == SNAPSHOT[name] == len(ENTRIES) - len(recovered.entries)
    assert recovered.snapshot.members.voters == (MemberId("a", 1), MemberId("b", 2), MemberId("c", 3))
    assert recovered.snapshot.members.followers == (MemberId("d", 4),)
    state_machine = ReplicatedStateMachine(parts())
    if recovered.snapshot.state:
        state_machine.restore(recovered.snapshot.state)
        assert state_machine.digest().hex() == ENTRIES[recovered.snapshot.index - 1]["digest"]
        assert state_machine.snapshot() == recovered.snapshot.state
    for entry in recovered.entries:
        line, outcome = ENTRIES[entry.index - 1], state_machine.apply(entry)
        assert entry.kind == line["kind"]
        assert (outcome.rejection, outcome.result.hex(), outcome.is_duplicate) == (
            line["refused"],
            line["told"],
            line["doubled"],
        ), entry
        assert state_machine.digest().hex() == line["digest"], entry
    assert state_machine.snapshot() == (GOLDEN / "state.bin").read_bytes()


def test_segments_snapshots_and_identity_are_encoded_to_the_same_bytes(name, recovered):
    segments = sorted((GOLDEN / name).glob("log-*"))
    assert len(segments) > 2
    for path in segments:
        data = path.read_bytes()
        rows, good = read_records(data, path.name, False)
        assert good == len(data) and b"".join(RECORDS.frame(row) for _, row in rows) == data
    (snapshot_path,) = (GOLDEN / name).glob("book-*")
    assert snapshot_path.name == f"book-{SNAPSHOT[name]:012}"
    assert snapshots.encode(snapshots.decode(snapshot_path.read_bytes(), "")) == snapshot_path.read_bytes()
    assert snapshots.encode(recovered.snapshot) == snapshot_path.read_bytes()
    data = (GOLDEN / name / "identity").read_bytes()
    assert identity.encode(identity.decode(data, "")) == data
    told = json.loads(data)
    assert list(told) == ["fleet", "name", "number", "founders", "met", "form", "check"]
    assert (told["fleet"], told["name"], told["number"]) == ("whk", "a", 1)
    assert told["met"] == {"b": 2, "c": 3} and told["founders"] == ["a", "b", "c"]


def test_initialization_writes_the_same_identity_file(tmp_path):
    bench = Bench(tmp_path).founded()
    bench.disk.folder.record_seen_number(MemberId("c", 3))
    bench.disk.folder.record_seen_number(MemberId("b", 2))
    bench.close()
    assert (tmp_path / "identity").read_bytes() == (GOLDEN / "member" / "identity").read_bytes()


def test_a_restored_state_is_encoded_to_the_same_bytes():
    data = (GOLDEN / "state.bin").read_bytes()
    state_machine = ReplicatedStateMachine(parts())
    state_machine.restore(data)
    assert state_machine.snapshot() == data
    assert state_machine.digest().hex() == ENTRIES[-1]["digest"]
    assert (state_machine.index, state_machine.term) == (len(ENTRIES), 2)
    told = {
        name: msgspec.to_builtins(part.row(), str_keys=True) for name, part in state_machine.parts.items()
    }
    assert json.loads(json.dumps(told)) == json.loads((GOLDEN / "parts.json").read_text())
    snapshot = Snapshot(state_machine.index, state_machine.term, snapshot_members(), data)
    assert snapshots.decode(snapshots.encode(snapshot), "") == snapshot


def snapshot_members():
    (snapshot_path,) = (GOLDEN / "member").glob("book-*")
    return snapshots.decode(snapshot_path.read_bytes(), "").members


def test_each_kind_of_entry_takes_effect_at_least_once():
    applied = {line["kind"] for line in ENTRIES if not line["refused"]}
    known = {f"{part.name}.{word}" for part in parts() for word in part.kinds}
    assert applied == known | {"", "ledger.members"}, "a new kind gets a golden folder of its own"


def test_the_script_that_made_the_folders_writes_the_same_files(tmp_path):
    runpy.run_path(str(GOLDEN / "write_story.py"))["write"](tmp_path)
    for name in SNAPSHOT:
        assert files(tmp_path / name) == files(GOLDEN / name)
    for name in ("entries.json", "parts.json", "state.bin"):
        assert (tmp_path / name).read_bytes() == (GOLDEN / name).read_bytes()
