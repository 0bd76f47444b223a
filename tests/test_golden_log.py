"""Compares log lines, and the names of events, fields and counters, with golden files."""

import golden_log
from golden_wire import cases, check

# Orders for a slice that was revoked and acquired again are no longer sent again, so `orders_resent`,
# formerly `orders_repeated`, has one form less.
REMOVED_EVENTS = [["orders_repeated", ["orders", "slice"]]]


def test_log_lines_match_the_golden_file():
    check("log_lines.jsonl", golden_log.lines)


def test_log_lines_of_parts_of_the_program_match_the_golden_file():
    found = check("log_jobs.jsonl", golden_log.job)
    assert {case["given"] for case in found} == set(golden_log.JOBS) and all(case["gives"] for case in found)


def test_every_event_keeps_its_name_and_its_fields():
    """New events, and new calls that log an event with other fields, are allowed."""
    expected = cases("log_events.jsonl")
    found = golden_log.told_by_source()
    assert len(expected) > 100 and [event for event in expected if event not in found] == REMOVED_EVENTS


def test_every_counter_keeps_its_name():
    expected = cases("log_counters.jsonl")
    found = golden_log.counted_by_source()
    assert len(expected) > 30 and [name for name in expected if name not in found] == []
