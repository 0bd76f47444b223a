"""Golden configuration files: each kind parses to the recorded values, and together they use every word."""

import orjson
import pytest

from golden_files import golden
from golden_files_directives import KINDS, read_as, text_of, words


@pytest.mark.parametrize("kind", KINDS)
def test_a_golden_file_parses_to_its_values(kind):
    text = golden(f"directives/{kind}.conf").decode()
    assert read_as(text) == golden(f"directives/{kind}.json")
    assert text_of(kind) == text


def test_words_and_defaults_are_the_recorded_ones():
    assert words() == golden("directives/words.json")


def test_the_files_use_every_word():
    used = {
        line.split()[0] if line.split()[0] not in ("wait", "limit") else " ".join(line.split()[:2])
        for kind in KINDS
        for line in golden(f"directives/{kind}.conf").decode().splitlines()
    }
    known = [golden_words(kind) for kind in ("sidecar", "operators")]
    assert used == known[0] | known[1]


def golden_words(kind):
    found = orjson.loads(golden("directives/words.json"))[kind]
    return (
        {word for word in found["words"] if word not in ("wait", "limit")}
        | {f"wait {word}" for word in found["wait"]}
        | {f"limit {word}" for word in found["limit"]}
    )
