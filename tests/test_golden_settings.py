"""Tests that settings, load reports and configuration files are parsed as the golden files record."""

import golden_settings
from golden_wire import cases, check


def test_settings_are_parsed_as_recorded():
    results = check("settings.jsonl", golden_settings.settings)
    assert results[0]["gives"]["values"].keys() == golden_settings.SETTING_NAMES.keys()
    assert {"refused": True} in [case["gives"] for case in results]


def test_the_values_of_the_first_case_all_differ():
    """A parser that confuses two settings would go unnoticed if their values were equal."""
    values = list(cases("settings.jsonl")[0]["gives"]["values"].values())
    assert len(set(values)) == len(values)


def test_load_reports_are_parsed_as_recorded():
    check("load_reports.jsonl", golden_settings.load)


def test_configuration_files_and_environment_are_read_as_recorded():
    check("configuration.jsonl", golden_settings.configuration)


def test_each_setting_that_is_looked_up_is_one_that_is_parsed():
    """A lookup of a name that the parser never sets would silently return the default."""
    names = golden_settings.requested_names()
    assert len(names) > 20 and names <= {*golden_settings.SETTING_NAMES.values(), "methods"}
