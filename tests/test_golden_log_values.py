"""Compares log lines about connections, error fields and enumeration values with golden files."""

import golden_told
from golden_wire import check


def test_log_lines_about_connections_match_the_golden_file():
    lines = [line for case in check("log_callers.jsonl", golden_told.callers) for line in case["gives"]]
    for event in ("collector", "line_spoilt", "connection_garbled", "stranger_rejected", "lines_all_spoilt"):
        assert any(f'"event":"{event}"' in line for line in lines)


def test_error_fields_match_the_golden_file():
    check("log_errors.jsonl", golden_told.error)


def test_enumeration_values_match_the_golden_file():
    found = check("log_words.jsonl", golden_told.enumeration)
    assert {case["given"] for case in found} == set(golden_told.ENUMERATIONS)
