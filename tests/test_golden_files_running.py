"""Compares the keys of control socket responses of running processes with golden files."""

import pytest

from golden_files import golden
from golden_files_running import RUNNING


@pytest.mark.parametrize("name", RUNNING)
def test_response_keys_of_a_running_process_match_the_golden_file(name):
    assert RUNNING[name]() == golden(f"running/{name}.json")
