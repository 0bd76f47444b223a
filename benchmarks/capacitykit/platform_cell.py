"""What the platform's coordinator reads off its wires: discovery's list, and the lines of collectors."""

from __future__ import annotations

import statistics

import orjson

from indigohitch.platform_protocol.discovery import parse_backend_list
from indigohitch.platform_protocol.messages import KnownNames, parse_message, parse_report

from .measuring import Memory, processor_ms

TIMES = 5


def instance(number: int) -> dict:
    return {
        "instanceId": f"s-{number:06x}",
        "hostPort": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080",
        "zone": "east",
        "machineType": "std",
        "cell": number % 7,
        "lifecycle": "SERVING",
        "weight": 6.0,
        "startedAtMs": 1_700_000_000_000,
    }


def discovery(backends: int) -> dict[str, float]:
    """The whole list, as after a break of the watch."""
    memory = Memory()
    found = {
        "generation": 41,
        "reset": True,
        "instances": [instance(number) for number in range(backends)],
    }
    body = orjson.dumps(found)
    del found
    spent = [processor_ms(lambda: parse_backend_list(orjson.loads(body)))[0] for _ in range(TIMES)]
    return {
        "list_ms": statistics.median(spent),
        "list_kb": len(body) / 1024,
        "memory_mb": memory.grown_mb(),
    }


def collectors(lines: int) -> dict[str, float]:
    """Sums of proxies: one line a backend met and one a slice, half of each."""
    memory = Memory()
    backends = [f"s-{number:06x}" for number in range(lines // 2)]
    known = KnownNames(frozenset({"east"}), frozenset({"search"}), lines, frozenset(backends))
    wire = [
        f"upstream_stats site=east target={name} count=18 fail=0 mean=250.5 over=2000 "
        "util=svc_ms:250.5,pending:3,served_ps:9.1".encode()
        for name in backends
    ]
    wire += [
        f"range_stats range={number} lane=search count=20 fail=0 over=2000".encode()
        for number in range(lines - len(backends))
    ]

    def parse() -> list:
        return [parse_report(*parse_message(line), known) for line in wire]

    spent = [processor_ms(parse)[0] for _ in range(TIMES)]
    return {
        "lines_ms": statistics.median(spent),
        "lines_kb": sum(len(line) + 1 for line in wire) / 1024,
        "memory_mb": memory.grown_mb(),
    }
