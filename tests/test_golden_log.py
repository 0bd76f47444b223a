"""The log as golden files pin it: its lines as bytes, the names of events, fields and counters."""

import golden_log
from golden_wire import cases, check


def test_lines():
    check("log_lines.jsonl", golden_log.lines)


def test_lines_of_parts_of_the_program():
    found = check("log_jobs.jsonl", golden_log.job)
    assert {case["given"] for case in found} == set(golden_log.JOBS) and all(case["gives"] for case in found)


def test_every_event_keeps_its_name_and_its_fields():
    """Further events, and further fields in calls of their own, may come."""
    wanted, found = cases("log_events.jsonl"), golden_log.told_by_source()
    assert len(wanted) > 100 and [one for one in wanted if one not in found] == []


def test_every_counter_keeps_its_name():
    wanted, found = cases("log_counters.jsonl"), golden_log.counted_by_source()
    assert len(wanted) > 30 and [one for one in wanted if one not in found] == []
