"""The bench's wire, both ways, as golden files pin it."""

import golden_bench
from golden_wire import ORDERS, cases, check

EVENTS = {
    "list",
    "probe answer",
    "demand of a slice",
    "demand of a proxy",
    "traffic",
    "proxy came",
    "proxy went",
    "mark answered",
    "slice owned",
    "line stored",
    "peer said",
    "timer",
}


def test_lines_in():
    found = [case["gives"] for case in check("bench_in.jsonl", golden_bench.line_in)]
    read = [one["reads"] for one in found if one.get("reads")]
    assert {one["event"] for one in read if "event" in one} == EVENTS
    assert {one["type"] for one in found if "type" in one} >= {
        "Mark",
        "Flush",
        "Configure",
        "PowerOff",
        "List",
    }
    assert {"refused": True} in found and any(one.get("reads", 0) is None for one in found)


def test_orders_out():
    found = check("bench_out.jsonl", golden_bench.order_out)
    assert {case["given"]["order"] for case in found} == set(ORDERS)


def test_a_whole_talk():
    (case,) = check("bench_talks.jsonl", golden_bench.talk)
    out = case["gives"]["out"].splitlines()
    assert out.count('{"type":"Ok"}') == 3 and any('"GiveIn"' in line for line in out)


def test_each_order_is_sent_as_the_cases_of_one_order_say():
    """The talk's bytes are those of the orders one by one."""
    (talk,) = cases("bench_talks.jsonl")
    single = {case["given"]["coordinator"]: case["gives"] for case in cases("bench_out.jsonl")}
    tail = '"coordinator":{}}}\n'
    wanted = [line.replace(tail.format(number), tail.format(2)) for number, line in single.items()]
    assert talk["gives"]["out"].startswith("".join(wanted) + '{"type":"Ok"}\n')
