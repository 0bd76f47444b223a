"""The configuration as golden files pin it: what the module gets of each setting."""

import golden_settings
from golden_wire import cases, check


def test_settings():
    found = check("settings.jsonl", golden_settings.settings)
    assert found[0]["gives"]["values"].keys() == golden_settings.READ_AS.keys()
    assert {"refused": True} in [case["gives"] for case in found]


def test_each_value_of_the_first_case_shows_its_setting():
    """No two are alike, so none can stand for another unseen."""
    values = list(cases("settings.jsonl")[0]["gives"]["values"].values())
    assert len(set(values)) == len(values)


def test_load_reports():
    check("load_reports.jsonl", golden_settings.load)


def test_the_configuration_and_its_variables():
    check("configuration.jsonl", golden_settings.configuration)


def test_each_value_that_is_asked_for_is_one_that_is_read():
    """A value asked for by a name that nothing reads would be its default without a word."""
    asked = golden_settings.asked_for()
    assert len(asked) > 20 and asked <= {*golden_settings.READ_AS.values(), "methods"}
