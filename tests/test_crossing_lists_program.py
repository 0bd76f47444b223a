"""The program, and lists that are older than what it holds."""
import json

from peers import http
from stage import drain
from waiting import eventually


def test_an_older_list_brings_no_drained_backend_back(platform):
    program = platform.serving()
    older = platform.whole()
    drain(platform, "b1")
    calls, answer, left = len(platform.calls), platform.discovery.answer, [older, older]

    def stale(sock, method, target, body):
        if not left:
            return answer(sock, method, target, body)
        left.pop()
        http(sock, json.dumps(older))
    platform.discovery.answer = stale
    drain(platform, "b2")                       # ends the watch; the next two calls get the older list
    eventually(lambda: len(program.said("discovery_older", verdict="doubted")) == 2)
    drain(platform, "b3")                       # asked for within a second, though nobody watched
    assert not [o for call in platform.calls[calls:] for o in call if o.startswith("put") and ",b1," in o
                and not o.endswith((",0", ",0.0"))]
    assert not program.said("discovery_began_anew") and not program.said("discovery_failed")


def test_a_discovery_that_began_anew_is_believed(platform):
    program = platform.serving()
    drain(platform, "b1")
    with platform.lock:
        platform.version, platform.changes = 1, []
    platform.change("b5", "DRAINING")           # its version is below the one asked from: the watch waits on
    platform.add("b6")
    eventually(lambda: program.said("discovery_began_anew"))
    drain(platform, "b2")
    assert not any({"b1", "b5"} & set(t) for t in platform.tables.values())
