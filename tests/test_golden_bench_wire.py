"""Tests that messages of the bench protocol in both directions match the golden files."""

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


def test_each_line_is_decoded_as_recorded():
    results = [case["gives"] for case in check("bench_in.jsonl", golden_bench.line_in)]
    contents = [result["reads"] for result in results if result.get("reads")]
    assert {content["event"] for content in contents if "event" in content} == EVENTS
    assert {result["type"] for result in results if "type" in result} >= {
        "Mark",
        "Flush",
        "Configure",
        "PowerOff",
        "List",
    }
    assert {"refused": True} in results and any(result.get("reads", 0) is None for result in results)


def test_each_order_is_encoded_as_recorded():
    cases_of_orders = check("bench_out.jsonl", golden_bench.order_out)
    assert {case["given"]["order"] for case in cases_of_orders} == set(ORDERS)


def test_a_whole_session_gives_the_recorded_output():
    (case,) = check("bench_talks.jsonl", golden_bench.talk)
    lines = case["gives"]["out"].splitlines()
    assert lines.count('{"type":"Ok"}') == 3 and any('"GiveIn"' in line for line in lines)


def test_a_session_sends_each_order_with_the_bytes_of_its_single_case():
    (session,) = cases("bench_talks.jsonl")
    lines_by_coordinator = {case["given"]["coordinator"]: case["gives"] for case in cases("bench_out.jsonl")}
    tail = '"coordinator":{}}}\n'
    expected = [
        line.replace(tail.format(number), tail.format(2)) for number, line in lines_by_coordinator.items()
    ]
    assert session["gives"]["out"].startswith("".join(expected) + '{"type":"Ok"}\n')
