"""The benchlink process on its pipe: a short session, and its exit and error line after invalid input."""

import json
import subprocess
import sys

PARAMS = {
    "balancers": 1,
    "classes": [
        {
            "name": "get",
            "aim": 1000.0,
            "deadline": 4000.0,
            "importance": 1.0,
            "repeat": "read_like",
            "surprise": 1,
        }
    ],
    "discovery": "push",
    "rules": {"warm-within": 15000.0, "cold-from": 0.2, "unheard-of": 3},
    "family-info": {
        "admission": "share",
        "egress-per-s": 10000.0,
        "queue-cap": 15000.0,
        "envelope": 8.0,
        "report-every": 1000.0,
    },
    "bounds": {"may-probe": True},
    "report": {"columns": ["pending", "new_one", "svc_ms"]},
}


def run_process(*messages):
    text = "".join(
        (message if isinstance(message, str) else json.dumps(message)) + "\n" for message in messages
    )
    process = subprocess.run(
        [sys.executable, "-m", "indigohitch.benchlink"], input=text.encode(), capture_output=True, timeout=30
    )
    return (
        process.returncode,
        [json.loads(line) for line in process.stdout.splitlines()],
        process.stderr.decode(),
    )


def mark(ms):
    return {"type": "Mark", "at-time": ms}


FLUSH = {"type": "Flush"}


def backend_list(buffer, *ids):
    return {
        "type": "List",
        "buffer": buffer,
        "members": [{"backend": b, "condition": "healthy", "share": 1, "campus": "east"} for b in ids],
    }


def create_instance(number):
    return [
        {"type": "Configure", "coordinator": number, "rng-seed": 7, "params": PARAMS},
        {"type": "Endpoints", "coordinator": number, "kind": "remembered", "number": 1, "buffer": 0},
    ]


def test_lists_are_resolved_in_order_and_instances_are_independent():
    code, out, err = run_process(
        mark(10.5),
        FLUSH,
        mark(11.0),
        backend_list(0, "a:1"),
        *create_instance(0),
        backend_list(0, "b:2"),
        *create_instance(1),
        *({"type": "AssignedToMe", "coordinator": n, "table": n, "active": True} for n in (0, 1)),
        *({"type": "Connected", "coordinator": n, "edge": 4, "share": 2.0, "campus": "east"} for n in (0, 1)),
        {"type": "NeverHeardOf", "coordinator": 0},
        FLUSH,
        mark(600.0),
        {
            "type": "TrafficReport",
            "coordinator": 0,
            "campus": "east",
            "backend": "a:1",
            "total": 3,
            "errors": 0,
            "duration": 9.5,
            "health-info": [1, None, 4.5],
            "extra": 1,
        },
        {"type": "PowerOff", "coordinator": 1},
        FLUSH,
    )
    assert code == 0 and not err
    assert [m["type"] for m in out].count("Ok") == 3
    assert {(m["coordinator"], m["table"], m["backend"]) for m in out if m["type"] == "SetWeight"} == {
        (0, 0, "a:1"),
        (1, 1, "b:2"),
    }
    assert not [m for m in out if m["type"] == "GiveIn"]


def test_invalid_input_ends_the_process_with_one_error_line():
    for invalid in (
        "not json",
        '{"type":"Connected","coordinator":0}',
        '{"no":"type"}',
        '{"type":"Endpoints","coordinator":0,"kind":"all","number":1,"buffer":9}',
    ):
        code, _, err = run_process(mark(1.0), backend_list(0, "a:1"), *create_instance(0), invalid, FLUSH)
        assert code != 0 and "Traceback" not in err and len(err.splitlines()) == 1, invalid


def test_a_failing_decision_module_sends_give_in():
    params = PARAMS | {"family-info": PARAMS["family-info"] | {"egress-per-s": "fast"}}
    code, out, _ = run_process(
        mark(1.0),
        backend_list(0, "a:1"),
        {**create_instance(0)[0], "params": params},
        create_instance(0)[1],
        {"type": "AssignedToMe", "coordinator": 0, "table": 0, "active": True},
        {"type": "Connected", "coordinator": 0, "edge": 4, "share": 2.0},
        FLUSH,
    )
    assert [m["type"] for m in out] == ["GiveIn", "Ok"]
