"""Property test: any text is parsed, or fails with mistakes that each have a line of the file."""

import shlex

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from indigohitch.config import either, operator_file, sidecar_file
from indigohitch.config.lines import ConfigError
from test_directives import TEXT
from test_directives_fleet import FLEET

FIRST_WORDS = sorted(
    {
        *sidecar_file.SINGLE,
        "rpc",
        "pool",
        "server",
        "route",
        "wait",
        "limit",
        "fleet",
        "member",
        "ledger",
        "drift",
        "edition",
        "site",
        "band",
        "batch-class",
        "seats",
    }
)
words = st.one_of(
    st.sampled_from(shlex.split(TEXT + FLEET, comments=True)),
    st.sampled_from(FIRST_WORDS),
    st.sampled_from(["1s", "64KB", "0", "3", "0.5", "x=1", "soft", "weight", "key", "seat"]),
    st.text(max_size=6),
)
lines = st.one_of(
    st.builds(
        lambda first, rest: " ".join([first, *rest]),
        st.sampled_from(FIRST_WORDS),
        st.lists(words, max_size=7),
    ),
    st.sampled_from((TEXT + FLEET).splitlines()),
)
texts = st.lists(lines, max_size=14).map("\n".join)


@pytest.mark.parametrize("read", [sidecar_file.read, operator_file.read])
@settings(derandomize=True, max_examples=400, deadline=None)
@given(texts)
def test_any_text_is_parsed_or_each_mistake_has_its_line(read, text):
    try:
        parsed = read(text, "f")
    except ConfigError as error:
        end = len((text + " ").splitlines())
        assert error.found and all(1 <= line <= end and why for line, why in error.found)
        assert len(set(error.found)) == len(error.found) == str(error).count("f:")
    else:
        assert parsed.fleet is None or parsed.fleet.me in parsed.fleet.members
        assert read is operator_file.read or parsed.routes.all
    either.is_operators(text)
