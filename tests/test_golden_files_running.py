"""Golden files of running processes: keys of what they answer over the control socket."""

import pytest

from golden_files import golden
from golden_files_running import RUNNING


@pytest.mark.parametrize("name", RUNNING)
def test_keys_of_the_answers_of_a_running_process(name):
    assert RUNNING[name]() == golden(f"running/{name}.json")
