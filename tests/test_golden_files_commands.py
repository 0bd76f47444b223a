"""Compares the command line with its golden file: operators rely on its names."""

from golden_files import golden
from golden_files_commands import made


def test_command_line_names_match_the_golden_file():
    assert made() == {"command-line.json": golden("commands/command-line.json")}
