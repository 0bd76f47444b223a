"""How fast this machine is just now: a fixed loop of a million lookups, in processor milliseconds.

Other work on the machine slows every cell alike (caches, clock rates, shared cores), so each series keeps
what this loop took while it ran."""

import time

LOOKUPS, KEYS = 1_000_000, 1_000


def loop() -> int:
    table, total = {key: 2 * key for key in range(KEYS)}, 0
    for _ in range(LOOKUPS // KEYS):
        for key in table:
            total += table[key]
    return total


def measure(turn: int) -> dict[str, float]:
    """`turn` only tells runs apart."""
    began = time.process_time()
    loop()
    return {"loop_ms": (time.process_time() - began) * 1000}
