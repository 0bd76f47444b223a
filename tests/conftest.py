"""What many files of tests share."""

import pytest

import known_red
from seam import Seam
from stage import Platform


def pytest_xdist_auto_num_workers(config):
    """Eight for the whole; files that are named run in this process, at once."""
    named = [word for word in config.invocation_params.args if word.split("::")[0].endswith(".py")]
    return 0 if named else 8


def pytest_configure(config):
    known_red.begin(config)


@pytest.fixture
def platform(tmp_path):
    found = Platform(tmp_path)
    yield found
    found.close()


@pytest.fixture
def seam():
    found = Seam()
    yield found
    found.close()
