"""Runs a case: the exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import asyncio
import contextlib
import os
import random
import socket
import sys
import traceback

from world import World

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
LIMIT = 110  # s


def free_port():
    """Returns a port of the loopback address that is free now, and that the kernel gives to no client."""
    while True:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", random.SystemRandom().randrange(10000, 30000)))
            return sock.getsockname()[1]


async def play(folder, settings, run, rule, **ways):
    """Plays `run(world)`, which returns the number of breaches and a reason if the case could not run."""
    world = World(folder, settings, SEED, **ways)
    broken, failure = 0, "the case did not run to its end"
    world.note(f"seed {SEED}, with the disruption: {TROUBLE}")
    try:
        broken, failure = await asyncio.wait_for(run(world), LIMIT)
    except Exception:
        traceback.print_exc()
    ended = [name for name, (process, _) in world.coordinators.items() if process.returncode is not None]
    world.note(f"coordinators that ended by themselves: {ended}")
    verdict = f"not judged: {failure}" if failure else f"{broken} times against the rule: {rule}"
    world.note(verdict)
    await world.stop()
    print(verdict, flush=True)
    # Without the clean-up of the interpreter, which complains about streams of a loop that has ended.
    os._exit(2 if failure else 1 if broken else 0)


def main(folder, settings, run, rule, **ways):
    """Runs the event loop; does not return."""
    asyncio.run(play(folder, settings, run, rule, **ways))
    sys.exit(2)
