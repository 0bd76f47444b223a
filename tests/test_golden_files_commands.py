"""The golden file of the command line: what operators type has the names that it had."""

from golden_files import golden
from golden_files_commands import made


def test_names_of_the_command_line():
    assert made() == {"command-line.json": golden("commands/command-line.json")}
