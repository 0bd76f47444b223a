"""One timeline out of the stamps of several files: each repair does what its rule says."""

from collections import Counter

import pytest

from indigohitch.load.entry import SECOND, Entry
from indigohitch.load.timeline import RULES
from indigohitch.load.timeline.order import timeline


def entries(times, grain=1, local=False, file=0, **more):
    return [
        Entry(stamp=t, method="GET", target=f"/{n}", line=n, grain=grain, local=local, file=file, **more)
        for n, t in enumerate(times)
    ]


def timed(*files, off=(), seed=1):
    counts = Counter()
    found = list(timeline([list(f) for f in files], frozenset(RULES) - set(off), seed, counts))
    return found, counts


@pytest.mark.parametrize(
    "step,rule", [(-3600, "clock-back"), (-100, "clock-back"), (3600, "gap"), (600, "gap")]
)
def test_a_clock_that_is_set(step, rule):
    times = [n * SECOND // 10 for n in range(100)]
    times += [times[-1] + step * SECOND + n * SECOND // 10 for n in range(1, 100)]
    found, counts = timed(entries(times))
    assert counts[rule] == 1 and len(found) == 199
    at = [a for a, _ in found]
    assert at == sorted(at) and [e.line for _, e in found] == list(range(199))
    gaps = [b - a for a, b in zip(at, at[1:])]
    assert max(gaps) == (SECOND // 10 if step < 0 else step * SECOND + SECOND // 10)


def test_ten_ms_back_is_a_line_out_of_order():
    found, counts = timed(entries([0, 1000, 900, 2000, 3000]))
    assert [e.line for _, e in found] == [0, 2, 1, 3, 4]
    assert counts["out-of-order"] == 1 and not counts["clock-back"]
    found, _ = timed(entries([0, 1000, 900, 2000, 3000]), off=["out-of-order"])
    assert [e.line for _, e in found] == [0, 1, 2, 3, 4]


@pytest.mark.parametrize("step,rule", [(3600, "dst-forward"), (-3600, "dst-back")])
def test_daylight_saving_in_stamps_without_a_zone(step, rule):
    times = [n * SECOND for n in range(50)] + [(49 + step + n) * SECOND for n in range(1, 50)]
    found, counts = timed(entries(times, grain=SECOND, local=True))
    at = [a for a, _ in found]
    assert counts[rule] == 1 and at == sorted(at) and at[-1] - at[0] < 100 * SECOND
    found, counts = timed(entries(times, grain=SECOND, local=True), off=[rule])
    assert counts[rule] == 1 and (found[-1][0] - found[0][0] > 3000 * SECOND) == (step > 0)


def test_one_stray_line_moves_nothing():
    found, counts = timed(entries([0, 100, 90_000 * SECOND, 200, 300]))
    assert counts["stray-line"] == 1 and [a for a, _ in found] == [0, 100, 100, 200, 300]
    assert sorted(e.line for _, e in found) == [0, 1, 2, 3, 4]


def test_whole_seconds_are_spread_in_order_and_by_seed():
    times = [n // 50 * SECOND for n in range(500)]
    found, counts = timed(entries(times, grain=SECOND))
    again, _ = timed(entries(times, grain=SECOND))
    other, _ = timed(entries(times, grain=SECOND), seed=2)
    at = [a for a, _ in found]
    assert counts["spread-seconds"] == 500 and found == again and at != [a for a, _ in other]
    assert [e.line for _, e in found] == list(range(500))
    assert all(a // SECOND == e.stamp // SECOND for a, e in found)
    tenths = Counter(a % SECOND // 1000 for a in at)
    assert min(tenths[n] for n in range(10)) > 25  # 50 each; all 500 lie at 0 without the rule
    assert len({a for a, _ in timed(entries(times, grain=SECOND), off=["spread-seconds"])[0]}) == 10


def test_stamps_of_the_end_are_taken_back_to_the_begin():
    found, counts = timed(entries([30_000, 31_000], ends=True, took=20_000))
    assert [a for a, _ in found] == [10_000, 11_000] and counts["end-stamps"] == 2


def test_duplicates_of_merged_files():
    one, two = entries([0, 100, 200, 300]), entries([0, 100, 200, 300], file=1)[2:]
    found, counts = timed(one, two)
    assert len(found) == 4 and counts["duplicate"] == 2
    twice = entries([0, 0])
    twice[1].target = twice[0].target
    assert len(timed(twice, entries([9 * SECOND], file=1))[0]) == 3  # one file, two requests
    assert len(timed(one, two, off=["duplicate"])[0]) == 6


def test_fifty_thousand_lines_in_one_second():
    found, _ = timed(entries([SECOND] * 50_000, grain=SECOND))
    assert len(found) == 50_000 and found[0][0] >= SECOND and found[-1][0] < 2 * SECOND
