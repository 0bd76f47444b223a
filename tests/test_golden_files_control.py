"""Golden files of the control socket: its lines, its answers, the keys and words of `status`."""

from golden_files import golden
from golden_files_control import answers, dialogue, member_status, phases


def test_lines_over_the_control_socket():
    assert dialogue() == golden("control/dialogue.json")


def test_answers_of_processes_that_start():
    assert answers() == golden("control/answers.json")


def test_keys_of_a_members_status():
    assert member_status() == golden("control/member-status.json")


def test_words_for_phases_and_roles():
    assert phases() == golden("control/phases.json")
