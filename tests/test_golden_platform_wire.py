"""Compares the messages of the platform protocol with golden files."""

import golden_platform
from golden_wire import check
from indigohitch.platform_protocol.messages import RELAY_EVENT_PARSERS, REPORT_PARSERS


def test_messages_of_inbound_connections_match_the_golden_file():
    found = check("collectors.jsonl", golden_platform.collector)
    counts = set().union(*(case["gives"]["counts"] for case in found))
    assert {f"lines_{kind}" for kind in REPORT_PARSERS} | {"heartbeats_answered", "line_spoilt"} <= counts
    answers = [case["gives"]["answer"] for case in found]
    assert "hb_ok\r\n" in answers and "reject\r\n" in answers


def test_relay_event_stream_matches_the_golden_file():
    found = check("relay_stream.jsonl", golden_platform.stream)
    events = [event for case in found for event in case["gives"].get("news", ())]
    assert {event["kind"] for event in events if event["reads"]} == set(RELAY_EVENT_PARSERS)


def test_relay_calls_match_the_golden_file():
    found = check("relay_calls.jsonl", golden_platform.call)
    kinds = {order["order"] for case in found for order in case["given"]}
    assert kinds == {"set line", "clear table", "set level", "withdraw", "mark"}


def test_relay_responses_match_the_golden_file():
    found = [case["gives"] for case in check("relay_answers.jsonl", golden_platform.answer)]
    assert {key for response in found for key in response} == {"taken", "error", "refused"}


def test_discovery_lists_match_the_golden_file():
    found = check("registry_lists.jsonl", golden_platform.registry)
    assert {case["gives"].get("scope") for case in found} == {"changes", "full", "remembered", None}


def test_probes_match_the_golden_file():
    found = check("probes.jsonl", golden_platform.probe)
    outcomes = {event["outcome"] for case in found for event in case["gives"]["tells"]}
    assert outcomes == {"ok", "error", "connect_failed", "timeout", "reset"}


def test_requests_match_the_golden_file():
    found = check("requests.jsonl", golden_platform.requests)
    assert all(case["gives"] for case in found)
