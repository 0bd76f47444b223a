"""Golden files of the load tools: traces, journals, figures, HAR: read, checked, and written again."""

import msgspec
import orjson
import pytest

from golden_files import as_json, golden
from golden_files_load import (
    COMPILED,
    IDENTITY,
    PLAN,
    beside_access_logs,
    figures,
    frozen,
    index_bytes,
    journal_values,
    said,
    trace_values,
    write_journal,
    write_trace,
)
from indigohitch.load import trace
from indigohitch.load.export import exported
from indigohitch.load.replay.figures import Figures
from indigohitch.load.replay.journal import Journal
from indigohitch.load.replay.schedule import Plan


def kept(tmp_path, name):
    path = tmp_path / name
    path.write_bytes(golden(f"load/{name}"))
    return str(path)


@pytest.mark.parametrize("name", ["trace", "compiled"])
def test_a_trace_is_read_shown_and_written_again(tmp_path, name):
    path = kept(tmp_path, name)
    assert trace_values(path) == golden(f"load/{name}.json")
    assert said("show", path) == golden(f"load/{name}.show.json")
    found, again = trace.Trace(path), str(tmp_path / "again")
    held = [request for _, request in found.requests()]
    trace.write(again, held, found.head.began, found.head.sources, found.head.counts)
    found.close()
    assert (tmp_path / "again").read_bytes() == golden(f"load/{name}")


@pytest.mark.parametrize("name", ["trace", "compiled"])
def test_the_index_of_a_trace_has_its_names(tmp_path, name):
    data = index_bytes(kept(tmp_path, name))
    assert data == golden(f"load/{name}.index")
    assert msgspec.msgpack.encode(msgspec.msgpack.decode(data, type=trace.Index)) == data
    plain = msgspec.msgpack.decode(data)  # without the program's types
    assert list(plain) == ["head", "blocks"]
    assert list(plain["head"]) == ["began", "count", "span", "sources", "counts", "unsafe"]


def test_a_trace_is_written(tmp_path):
    write_trace(str(tmp_path / "trace"))
    assert (tmp_path / "trace").read_bytes() == golden("load/trace")


def test_access_logs_become_a_trace_and_a_har_file(tmp_path):
    with beside_access_logs():
        assert said(*COMPILED, "-o", str(tmp_path / "compiled")) == golden("load/compiled.said.json")
        exported(["json.log"], str(tmp_path / "har"), "json", "http://localhost")
    assert (tmp_path / "compiled").read_bytes() == golden("load/compiled")
    assert (tmp_path / "har").read_bytes() == golden("load/exported.har")


def test_a_journal_is_read_and_written(tmp_path):
    journal = Journal(kept(tmp_path, "journal"), IDENTITY, PLAN)
    assert journal_values(journal) == golden("load/journal.json")
    journal.close()
    assert (tmp_path / "journal").read_bytes() == golden("load/journal")
    write_journal(str(tmp_path / "again")).close()
    assert (tmp_path / "again").read_bytes() == golden("load/journal")


def test_a_journal_names_the_part_of_the_trace_that_it_is_of():
    assert Plan(filters=(("rpc", "place-*"),)).text() == PLAN
    plan = Plan(2.0, 5, 70_000, (("path", "/a"), ("status", "2*")), 10, 1, 3)
    assert plan.text() == "5-70000-(('path', '/a'), ('status', '2*'))-1/3"


def test_figures_of_a_replay_are_read_and_written():
    saved = orjson.loads(golden("load/figures"))
    read = Figures(saved["figures"]["span"])
    read.add(saved["figures"])
    for found in (read, figures()):
        assert frozen(found) == golden("load/figures.json")
        assert as_json(found.told()) == golden("load/figures.told.json")
    assert list(read.frozen()) == list(saved["figures"])
