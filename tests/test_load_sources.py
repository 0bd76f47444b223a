"""Sources, timeline and trace file of the load tools: no sockets."""

import gzip
import io
import random
import resource
from collections import Counter

import brotli
import orjson
import pytest
import zstandard

from indigohitch.load import compiling, kinds, trace
from indigohitch.load.entry import Request, path_of
from indigohitch.load.sources import har, logs, opened

LINE = '10.0.0.{n} - - [10/Oct/2026:13:55:{s:02} +0200] "{m} {t} HTTP/1.1" 200 12 "-" "ua"\n'


def log_lines(count, method="GET"):
    return "".join(
        LINE.format(n=i % 7, s=i // 50, m=method, t=f"/vacancies/{i}") for i in range(count)
    ).encode()


def compile_(tmp_path, *files, **words):
    paths = []
    for name, data in files:
        (tmp_path / name).write_bytes(data)
        paths.append(str(tmp_path / name))
    head, told = compiling.compiled(paths, str(tmp_path / "t"), kinds.by_method, **words)
    found = trace.Trace(str(tmp_path / "t"))
    return head, told, [r for _, r in found.requests()]


def har_of(*entries):
    return orjson.dumps({"log": {"version": "1.2", "pages": [{"id": "p"}], "entries": list(entries)}})


def har_entry(at="2026-01-01T00:00:00.100Z", url="http://h/a", method="GET", **more):
    return {
        "startedDateTime": at,
        "time": 5,
        "request": {"method": method, "url": url},
        "response": {"status": 200},
        "timings": {"wait": 5},
    } | more


def test_every_compression_gives_the_same(tmp_path):
    data = log_lines(300)
    packed = {
        "a.log": data,
        "a.log.gz": gzip.compress(data),
        "a.log.br": brotli.compress(data),
        "a.log.zst": zstandard.compress(data[:999]) + zstandard.compress(data[999:]),
    }
    found = [
        [(r.at, r.target) for r in compile_(tmp_path, (name, content))[2]] for name, content in packed.items()
    ]
    assert len(found[0]) == 300 and all(f == found[0] for f in found)


@pytest.mark.parametrize(
    "name,pack", [("a.gz", gzip.compress), ("a.zst", zstandard.compress), ("a.br", brotli.compress)]
)
def test_a_truncated_file_gives_what_was_whole_and_says_so(tmp_path, name, pack):
    rng = random.Random(1)
    data = b"".join(
        LINE.format(n=i % 7, s=i // 50, m="GET", t=f"/{rng.getrandbits(256):x}").encode() for i in range(2900)
    )
    whole = pack(data)
    head, told, _ = compile_(tmp_path, (name, whole[: len(whole) * 2 // 3]))
    assert 0 < head.count < 2900 and told.counts["unread"] == 1
    assert "stream" in told.unread[0] and told.unread[0].startswith(str(tmp_path / name))


def test_lines_that_can_not_be_read_are_counted_and_named(tmp_path):
    data = log_lines(3) + b"nonsense\n" + b"x" * (3 << 20) + b"\n" + log_lines(2) + b"10.0.0.1 - - [10/Oct"
    head, told, _ = compile_(tmp_path, ("a.log", data))
    assert head.count == 5 and told.counts["unread"] == 2 and told.counts["unfinished-line"] == 1
    assert [text.split(":")[1] for text in told.unread] == ["4", "5"]


def test_a_format_of_ones_own(tmp_path):
    form = '%h [%{%Y-%m-%d %H:%M:%S}t] "%r" %>s %b %D'
    data = b'h [2026-10-10 13:55:36] "POST /b HTTP/1.1" 201 - 2500\n'
    head, _, found = compile_(tmp_path, ("a.log", data), form=form)
    assert found[0].took == 25 and found[0].unsafe and found[0].status == 201
    with pytest.raises(ValueError, match="names no request"):
        logs.Formatted("%h %t")
    with pytest.raises(compiling.NothingRead):
        compile_(tmp_path, ("a.log", b"x\n"))


def test_har_with_all_that_goes_wrong(tmp_path):
    entries = [
        har_entry(),
        har_entry(time=-1, timings={"wait": -7, "send": 2.5, "blocked": -1}),
        har_entry(timings=None, time=None),
        har_entry(url="http://h/\u00e4 b?x=\u00fc#f"),
        har_entry(response={"status": 302, "redirectURL": "/z"}),
        {"request": {}},
        5,
        har_entry(at="yesterday"),
        har_entry(
            method="POST",
            request={
                "method": "POST",
                "url": "http://h/places/1/reserve",
                "postData": {"mimeType": "a/b", "text": "aGk=", "encoding": "base64"},
            },
        ),
        har_entry(request={"method": "POST", "url": "/x", "postData": {"text": "!!", "encoding": "base64"}}),
    ]
    head, told, found = compile_(tmp_path, ("a.har", har_of(*entries)))
    assert head.count == 6 and told.counts["unread"] == 4 and told.counts["redirect"] == 1
    assert told.counts["timing-negative"] == 1 and told.counts["timing-missing"] == 2
    assert {r.target for r in found} >= {"/%C3%A4%20b?x=%C3%BC", "/places/1/reserve"}
    assert sorted(r.took for r in found)[:2] == [-1, 25]
    assert [r.body for r in found if r.unsafe] == [b"hi"] and head.unsafe == 1


def test_har_pages_without_entries_and_a_cut_file(tmp_path):
    notes = Counter()
    assert not list(har.read(io.BytesIO(har_of()), lambda *_: None, lambda n: notes.update([n])))
    assert notes == {"pages-without-entries": 1}
    head, told, _ = compile_(tmp_path, ("a.har", har_of(*[har_entry()] * 5)[:-30]))
    assert head.count >= 4 and told.counts["unread"] == 1


def test_a_large_har_is_not_held(tmp_path):
    """60 MB of answers' bodies: one entry at a time."""
    big = har_entry(response={"status": 200, "content": {"text": "x" * 600_000}})
    (tmp_path / "a.har").write_bytes(har_of(*[big] * 100))
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    with opened.opened(str(tmp_path / "a.har")) as stream:
        assert sum(1 for _ in har.read(stream, print, print)) == 100
    assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before < 30_000  # KB


def test_a_trace_is_read_from_any_time_and_damage_is_found(tmp_path):
    path = str(tmp_path / "t")
    made = [Request(n * 7, "GET", f"/{n}", "r", n % 9 == 0, n % 4, 0, n) for n in range(10_000)]
    head = trace.write(path, made, 0, ["x"], {"unread": 2})
    found = trace.Trace(path)
    assert found.head == head and head.unsafe == 1112 and [r for _, r in found.requests()] == made
    part = list(found.requests(35_000, 42_000))
    assert [n for n, _ in part] == list(range(5000, 6000)) and part[0][1] == made[5000]
    whole = (tmp_path / "t").read_bytes()
    for damaged in (
        whole[:-9],
        whole[: len(whole) // 2],
        whole[:50] + b"?" + whole[51:],
        b"PK" + whole[2:],
        whole[:7] + b"\x09" + whole[8:],
        b"",
    ):
        (tmp_path / "t").write_bytes(damaged)
        with pytest.raises(trace.Damaged):
            list(trace.Trace(path).requests())
    with pytest.raises(ValueError, match="in order"):
        trace.write(path, [made[5], made[1]], 0, [], {})
    assert (tmp_path / "t").read_bytes() == b""  # what was there is not touched by half a trace


def test_targets_and_kinds():
    assert path_of("http://h:8080/a?b=c#d") == "/a?b=c" and path_of("https://h") == "/"
    assert kinds.by_method("POST", "/places/7/reserve") == ("POST /places", True)
    assert kinds.by_method("GET", "/?x") == ("GET /", False)
