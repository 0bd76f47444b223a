"""Replay without sockets: schedule, safety, journal and figures."""

import json
import random
from pathlib import Path

import pytest

from indigohitch.load.entry import SECOND
from indigohitch.load.replay import safety
from indigohitch.load.replay.figures import Figures
from indigohitch.load.replay.journal import Journal, Unusable
from indigohitch.load.replay.running import left
from indigohitch.load.replay.schedule import Pace, Plan, filtered, passes
from recorded import request


def test_speed_parts_gaps_and_shards():
    rs = list(enumerate([request(n, n * 100 + (n > 5) * 90 * SECOND, connection=n % 3) for n in range(10)]))
    assert [d for d, _, _ in Plan(speed=2).due(rs[:3])] == [0, 50, 100]
    assert [d for d, _, _ in Plan(start=200).due(rs[2:4])] == [0, 100]
    cut = [d for d, _, _ in Plan(longest_gap=SECOND).due(rs)]
    assert cut[5] == 500 and cut[6] == 500 + SECOND and cut[7] == cut[6] + 100
    parts = [[n for _, n, _ in Plan(shard=i, shards=3, longest_gap=SECOND).due(rs)] for i in range(3)]
    assert sorted(sum(parts, [])) == list(range(10))
    assert [
        d for i in range(3) for d, n, _ in Plan(shard=i, shards=3, longest_gap=SECOND).due(rs) if n == 7
    ] == [cut[7]]
    for wrong in ({"speed": 0}, {"shard": 2, "shards": 2}):
        with pytest.raises(ValueError):
            Plan(**wrong)


def test_filters():
    r = request(1, 0, target="/vacancies/7?x=1")
    assert passes(r, [filtered("path=/vacancies/*"), filtered("method=GET")])
    assert passes(r, [filtered("rpc=no"), filtered("rpc=search")]) and not passes(r, [filtered("rpc=no")])
    assert passes(r, [])
    for wrong in ("rpc", "colour=red", "rpc="):
        with pytest.raises(ValueError, match="is wanted"):
            filtered(wrong)


def test_a_ceiling_on_the_rate_makes_late_never_fewer():
    pace = Pace(100)
    sent = [pace.sent_at(due) for due in [0] * 50 + [SECOND]]
    assert sent[:3] == [0, 100, 200] and sent[49] == 4900 and sent[50] == SECOND
    assert [Pace(0).sent_at(due) for due in (0, 0, 5)] == [0, 0, 5]


@pytest.mark.parametrize(
    "host,proven,allowed,journal,unsafe,begins",
    [
        ("127.0.0.1", True, False, True, True, True),
        ("127.0.0.1", True, False, False, True, False),
        ("127.0.0.1", False, True, True, True, False),
        ("10.0.0.1", False, True, True, True, False),
        ("127.0.0.1", False, False, False, False, False),
        ("127.0.0.1", False, True, False, False, True),
        ("10.0.0.1", False, False, False, False, False),
        ("10.0.0.1", True, False, True, False, False),
        ("10.0.0.1", False, True, False, False, True),
        ("127.0.0.1", True, False, False, False, True),
    ],
)
def test_what_may_be_sent_where(host, proven, allowed, journal, unsafe, begins):
    found = request(16, 0, unsafe=True) if unsafe else None
    if begins:
        safety.may_begin(host, proven, allowed, journal, found, ["a.log"])
        return
    with pytest.raises(safety.Refused) as refused:
        safety.may_begin(host, proven, allowed, journal, found, ["a.log"])
    assert not unsafe or str(refused.value).startswith("a.log:17: POST")


def test_the_journal_knows_after_any_cut_what_may_have_gone(tmp_path, monkeypatch):
    """Whatever byte a crash cuts it at, every request that was sent is remembered, or not yet sent."""
    monkeypatch.setattr("os.fsync", lambda file: None)  # the cuts are made here: no disk is waited for
    rng, path = random.Random(3), str(tmp_path / "j")
    journal = Journal(path, "t", "p")
    sent = []
    for n in range(0, 60, 3):
        journal.send([n, n + 1])
        sent += [n, n + 1]
        if rng.random() < 0.6:
            journal.done(n)
    journal.close()
    whole = Path(path).read_bytes()
    for cut in range(len(whole)):
        Path(path).write_bytes(whole[:cut])
        again = Journal(path, "t", "p")
        lines = whole[:cut].count(b"\n")
        assert len(again.sending) + len(again.acted) == max(0, lines - 1)
        assert again.acted <= again.sending <= set(sent)
        again.send([999])
        again.close()
        assert 999 in Journal(path, "t", "p").sending  # what was torn off does not spoil what follows


def test_a_journal_of_another_replay_or_damaged_is_refused(tmp_path):
    path = str(tmp_path / "j")
    Journal(path, "t", "p").send([1, 2])
    for words, why in ((("u", "p"), "trace"), (("t", "q"), "plan")):
        with pytest.raises(Unusable, match=why):
            Journal(path, *words)
    data = Path(path).read_bytes()
    Path(path).write_bytes(data.replace(b"S 1", b"S 7"))
    with pytest.raises(Unusable, match=":2: damaged"):
        Journal(path, "t", "p")
    Path(path).write_bytes(b"hello\n")
    with pytest.raises(Unusable):
        Journal(path, "t", "p")


def test_what_is_left_to_a_resumed_replay(tmp_path):
    journal = Journal(str(tmp_path / "j"), "t", "p")
    jobs = [(n * 100, n, request(n, n * 100, unsafe=n % 3 == 0)) for n in range(12)]
    journal.send([0, 3, 6])
    journal.done(0)
    journal.done(6)
    assert [(d, n) for d, n, _ in left(iter(jobs), journal, True)] == [
        (0, 3),
        (0, 7),
        (100, 8),
        (200, 9),
        (300, 10),
        (400, 11),
    ]
    assert [n for _, n, _ in left(iter(jobs), journal, False)] == [1, 2, 3, 4, 5, 7, 8, 9, 10, 11]


def test_figures_add_up_over_processes():
    one, two, both = Figures(1000), Figures(1000), Figures(1000)
    rng = random.Random(1)
    for n in range(3000):
        due = rng.randrange(1000)
        for f in (rng.choice((one, two)), both):
            f.went("r", due, due + n % 7)
            f.answered("r", due, due + 20 + n % 50, "200")
    one.add(json.loads(json.dumps(two.frozen())))
    assert one.told() == both.told() and one.told()["sent"] == 3000
    f = Figures(1000)
    for n in range(100):
        f.went("r", 50, 50 if n < 90 else 150)
    assert f.rate_error() == pytest.approx(0.1)
