"""Golden files of versions and of the access log: read, checked, and written again to the same bytes."""

import pytest

from golden_files import as_json, golden
from golden_files_access import FORMS, entries, write_log
from golden_files_versions import RECORD_VALUES, WORD_VALUES, as_sent, kept, read_words, values
from golden_files_versions_made import FIRST, SECOND, records, session, words, write_store
from golden_files_versions_said import commands, rules
from indigohitch.encoding.frames import HEADER_BYTES
from indigohitch.fleet.storage.files import FileSystem
from indigohitch.versions.store import Store
from indigohitch.versions.store_records import RECORDS, frames, read
from indigohitch.versions.words import WORDS


def opened(tmp_path, name):
    """A store that finds that golden file."""
    (tmp_path / name).write_bytes(golden(f"versions/{name}"))
    store = Store(FileSystem(), str(tmp_path))
    store.open(8)
    return store


@pytest.mark.parametrize("name", [FIRST, SECOND])
def test_a_store_reads_the_golden_file(tmp_path, name):
    store = opened(tmp_path, name)
    assert as_json(kept(store)) == golden("versions/store.json")
    store.close()
    assert (tmp_path / name).read_bytes() == golden(f"versions/{name}")  # nothing was cut off


def test_a_store_that_was_read_writes_the_same_snapshot_to_a_new_file(tmp_path):
    store = opened(tmp_path, FIRST)
    store.begin()
    store.close()
    assert [path.name for path in tmp_path.iterdir()] == [SECOND]
    assert (tmp_path / SECOND).read_bytes() == golden(f"versions/{SECOND}")


def test_a_store_writes_the_golden_file(tmp_path):
    write_store(str(tmp_path)).close()
    assert (tmp_path / FIRST).read_bytes() == golden(f"versions/{FIRST}")


@pytest.mark.parametrize("name", ["records", FIRST, SECOND])
def test_records_of_a_store_are_read_and_written(name):
    data = golden(f"versions/{name}")
    found = read(data, name)
    assert found.valid_bytes == len(data) and frames(found.rows) == data
    if name == "records":
        assert as_json(values(found.rows, RECORD_VALUES)) == golden("versions/records.json")
        assert {type(row) for row in found.rows} == set(RECORDS.rows)  # each kind is there
        assert records() == data


@pytest.mark.parametrize("name, make", [("words", words), ("session", session)])
def test_messages_to_relays_are_read_and_written(name, make):
    data = golden(f"versions/{name}")
    rows = read_words(data)
    assert as_json(values(rows, WORD_VALUES)) == golden(f"versions/{name}.json")
    assert b"".join(WORDS.frame(as_sent(row)) for row in rows) == data
    assert {type(row) for row in rows} == set(WORDS.rows)
    assert make() == data


def test_frame_headers_are_unchanged():
    head = {"bytes": HEADER_BYTES, "records": RECORDS.magic, "words": WORDS.magic}
    assert as_json(head) == golden("versions/heads.json")


def test_answers_to_operators_are_unchanged():
    assert commands() == golden("versions/commands.json")


def test_rules_have_the_names_that_operators_set_aside():
    assert rules() == golden("versions/rules.json")


@pytest.mark.parametrize("form", FORMS)
def test_an_access_log_is_written_and_read(tmp_path, form):
    path = tmp_path / f"{form}.log"
    write_log(str(path), form)
    assert path.read_bytes() == golden(f"access/{form}.log")
    path.write_bytes(golden(f"access/{form}.log"))
    assert entries(str(path), form) == golden(f"access/{form}.json")
