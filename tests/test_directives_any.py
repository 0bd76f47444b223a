"""Any text at all: it is read, or each mistake in it has a line of the file; nothing else comes out."""

import shlex

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from indigohitch.config import either, operator_file, sidecar_file
from indigohitch.config.lines import ConfigError
from test_directives import TEXT
from test_directives_fleet import FLEET

HEADS = sorted(
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
    st.sampled_from(HEADS),
    st.sampled_from(["1s", "64KB", "0", "3", "0.5", "x=1", "soft", "weight", "key", "seat"]),
    st.text(max_size=6),
)
lines = st.one_of(
    st.builds(
        lambda head, rest: " ".join([head, *rest]), st.sampled_from(HEADS), st.lists(words, max_size=7)
    ),
    st.sampled_from((TEXT + FLEET).splitlines()),
)
texts = st.lists(lines, max_size=14).map("\n".join)


@pytest.mark.parametrize("read", [sidecar_file.read, operator_file.read])
@settings(derandomize=True, max_examples=400, deadline=None)
@given(texts)
def test_any_text_is_read_or_each_mistake_has_its_line(read, text):
    try:
        found = read(text, "f")
    except ConfigError as bad:
        end = len((text + " ").splitlines())
        assert bad.found and all(1 <= line <= end and why for line, why in bad.found)
        assert len(set(bad.found)) == len(bad.found) == str(bad).count("f:")
    else:
        assert found.fleet is None or found.fleet.me in found.fleet.members
        assert read is operator_file.read or found.routes.all
    either.is_operators(text)
