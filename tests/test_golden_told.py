"""Lines about callers, errors as fields of the log and words of enumerations, as golden files pin them."""

import golden_told
from golden_wire import check


def test_lines_about_callers():
    lines = [line for case in check("log_callers.jsonl", golden_told.callers) for line in case["gives"]]
    for event in ("collector", "line_spoilt", "connection_garbled", "stranger_rejected", "lines_all_spoilt"):
        assert any(f'"event":"{event}"' in line for line in lines)


def test_errors_as_fields():
    check("log_errors.jsonl", golden_told.error)


def test_words_of_enumerations():
    found = check("log_words.jsonl", golden_told.enumeration)
    assert {case["given"] for case in found} == set(golden_told.ENUMERATIONS)
