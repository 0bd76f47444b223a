"""The route trie against a linear search over all routes, and the keys of requests."""

import random
import re

import pytest

from indigohitch.config.routes import DuplicateRouteError, Route, Routes
from indigohitch.sidecar.keys import key_of, slice_of


def linear_find(routes, method, path):
    """Returns what the trie should: the most literal match, by a search over all routes."""

    def fits(route):
        parts = [p for p in route.pattern.strip("/").split("/") if p]
        pattern = ""
        for part in parts:
            pattern += (
                "(/.*)?" if part == "**" else "/[^/]+" if part.startswith("{") else "/" + re.escape(part)
            )
        return re.fullmatch(pattern or "/", "/" + path.strip("/"))

    def rank(route):
        names = [p for p in route.pattern.strip("/").split("/") if p]
        return [0 if not n.startswith("{") and n != "**" else 1 if n != "**" else 2 for n in names] + [1.5]

    matches = sorted((r for r in routes if fits(r)), key=rank)
    best = [r for r in matches if r.method == method]
    return best[0] if best else 405 if matches else 404


@pytest.mark.parametrize("seed", range(10))
def test_the_trie_finds_what_a_linear_search_finds(seed):
    rng = random.Random(seed)
    routes = Routes()
    for line in range(150):
        parts = [rng.choice(["a", "b", "c", "{x}"]) for _ in range(rng.randint(0, 4))]
        parts += ["**"] * (rng.random() < 0.2)
        try:
            method = rng.choice(["GET", "POST"])
            routes.add(Route(method, "/" + "/".join(parts), None, None, ("none", ""), line))
        except DuplicateRouteError:
            pass
    for _ in range(2000):
        path = "/" + "/".join(rng.choice("abcd") for _ in range(rng.randint(0, 5)))
        method = rng.choice(["GET", "POST", "PUT"])
        assert routes.find(method, path) == linear_find(routes.all, method, path), (method, path)


def test_keys_come_from_path_query_or_header_and_spread_over_slices():
    route = Route("GET", "/places/{id}", None, None, ("path", "1"))
    assert key_of(route, "/places/a%20b?x=1", "/places/a%20b", None) == b"a b"
    route.key = ("query", "x")
    assert key_of(route, "/places/7?y=2&x=1+2", "/places/7", None) == b"1 2"
    route.key = ("header", "x-block")
    assert key_of(route, "", "", lambda name: [b" k "] if name == b"x-block" else []) == b"k"
    counts = [0] * 16
    for n in range(4000):
        counts[slice_of(b"%d" % n, 16)] += 1
    assert min(counts) > 180
