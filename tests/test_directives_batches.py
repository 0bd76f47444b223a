"""The directives of batches; the command `check` also finds unknown time zones and countries."""

import pytest
from click.testing import CliRunner

from indigohitch.cli import main
from indigohitch.config import operator_file
from indigohitch.config.lines import ConfigError
from test_directives_fleet import FLEET

SITE = "edition 1\nsite eros zone Europe/Berlin holidays DE-BE\nlanes eros std 8\n"
CLASS = "batch-class d idempotent path /d/{piece}/{step} power std=300W"


@pytest.mark.parametrize(
    "line, why",
    [
        ("batch-slot 0s\nband eros any 06:00-22:00 9", "divides the hour"),
        ("batch-slot 1.5s", "of whole seconds"),
        ("\nband eros any 06:07-22:00 9", "begin and end with a slot"),
        ("band eros any 22:00-06:00 9", "a night takes two lines"),
        ("band ers any 06:00-22:00 9", "no site ers"),
        (CLASS.replace("piece", "pice"), "are filled in"),
        (CLASS.replace("/d", "d"), "does not begin with /"),
        (CLASS + " seats geocoder=1", "no line `seats geocoder`"),
        (CLASS + " sites ers", "no site ers"),
        (CLASS.replace("std=", ""), "NAME=VALUE"),
        (CLASS.replace("std", "big"), "no site has nodes"),
        ("peak eros 40 surcharge 3", "is no power"),
        ("runs eros std 4", "`to HOST:PORT` is wanted"),
    ],
)
def test_every_mistake_is_reported_once_with_its_line(line, why):
    with pytest.raises(ConfigError) as found:
        operator_file.read(FLEET + SITE + line + "\n", "f")
    at = 11 if line.startswith("\n") else 10
    assert [line for line, _ in found.value.found] == [at] and why in found.value.found[0][1]


def test_a_class_may_need_seats_that_the_file_contracts():
    assert operator_file.read(FLEET + SITE + CLASS + " seats geocoder=1\nseats geocoder 4\n").fleet


@pytest.mark.parametrize(
    "wrong, why",
    [("Europe/Berln", "no time zone 'Europe/Berln'"), ("DE-XX", "no holidays are known for 'DE-XX'")],
)
def test_check_reports_an_unknown_time_zone_or_country(tmp_path, wrong, why):
    file = tmp_path / "f"
    file.write_text(FLEET + SITE)
    assert CliRunner().invoke(main, ["check", str(file)]).exit_code == 0
    right = "Europe/Berlin" if "/" in wrong else "DE-BE"
    file.write_text((FLEET + SITE).replace(right, wrong))
    result = CliRunner().invoke(main, ["check", str(file)])
    assert result.exit_code == 1 and f"{file}:8: site eros: {why}" in result.output
