"""The platform's wires as golden files pin them."""

import golden_platform
from golden_wire import check
from indigohitch.platform_protocol.messages import RELAY_EVENT_PARSERS, REPORT_PARSERS


def test_lines_of_collectors_and_strangers():
    found = check("collectors.jsonl", golden_platform.collector)
    counts = set().union(*(case["gives"]["counts"] for case in found))
    assert {f"lines_{kind}" for kind in REPORT_PARSERS} | {"heartbeats_answered", "line_spoilt"} <= counts
    answers = [case["gives"]["answer"] for case in found]
    assert "hb_ok\r\n" in answers and "reject\r\n" in answers


def test_the_relays_stream_of_events():
    found = check("relay_stream.jsonl", golden_platform.stream)
    news = [one for case in found for one in case["gives"].get("news", ())]
    assert {one["kind"] for one in news if one["reads"]} == set(RELAY_EVENT_PARSERS)


def test_calls_to_the_relay():
    found = check("relay_calls.jsonl", golden_platform.call)
    kinds = {one["order"] for case in found for one in case["given"]}
    assert kinds == {"set line", "clear table", "set level", "withdraw", "mark"}


def test_the_relays_answers():
    found = [case["gives"] for case in check("relay_answers.jsonl", golden_platform.answer)]
    assert {key for one in found for key in one} == {"taken", "error", "refused"}


def test_lists_of_discovery():
    found = check("registry_lists.jsonl", golden_platform.registry)
    assert {case["gives"].get("scope") for case in found} == {"changes", "full", "remembered", None}


def test_probes():
    found = check("probes.jsonl", golden_platform.probe)
    outcomes = {one["outcome"] for case in found for one in case["gives"]["tells"]}
    assert outcomes == {"ok", "error", "connect_failed", "timeout", "reset"}


def test_requests():
    found = check("requests.jsonl", golden_platform.requests)
    assert all(case["gives"] for case in found)
