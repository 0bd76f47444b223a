"""The control socket matches its golden files: lines, replies, and the keys and values of `status`."""

from golden_files import golden
from golden_files_control import answers, dialogue, member_status, phases


def test_commands_and_replies_match_the_golden_file():
    assert dialogue() == golden("control/dialogue.json")


def test_replies_of_starting_processes_match_the_golden_file():
    assert answers() == golden("control/answers.json")


def test_status_keys_of_a_member_match_the_golden_file():
    assert member_status() == golden("control/member-status.json")


def test_values_of_phases_and_roles_match_the_golden_file():
    assert phases() == golden("control/phases.json")
