"""Backends are replaced while a coordinator is cut off, which returns with its old list."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "second"))

from backend import Backend  # noqa: E402
from drains import DrainJudge  # noqa: E402
from runner import TROUBLE, free_port, main  # noqa: E402
from settings import windhoek_central  # noqa: E402
from traffic import Collector, Traffic  # noqa: E402

CUT = 9.0  # s, and up to 7 s more until a call is in hand; the pages: 5 to 20 s
TAKEOVER = 2.0  # s; the pages: 1 to 3 s after it was cut off
REPLACED = 6  # of ten backends
WAVE = 7.0  # s; the pages: six in ten backends are replaced within 7 s
DRAIN = 2.5  # s from its listing as draining to the end of a backend
WATCHED = 9.0
SLICES = 40
ZONES = ("katutura", "olympia")


async def replace(world, number):
    """Takes a backend out and puts a new one in its place: listed as draining, then dead."""
    old = world.backends[f"s{number}"]
    new = Backend(world, f"t{number}", old.zone)
    new.started_at_ms = round(time.time() * 1000)
    for name in world.offices:
        new.probe_address(name)
        if world.offices[name].listener.is_cut:
            new.probe_listeners[name].cut()
    world.backends[new.name] = new
    old.state = "DRAINING"
    world.judge.leaves(old.name)
    world.generation += 1
    await asyncio.sleep(DRAIN)
    old.state = "DELETED"
    world.generation += 1
    old.die()
    world.note(f"{old.name} has ended")


async def wave(world):
    """Replaces six in ten backends within 7 s."""
    for number in range(REPLACED):
        world.spawn(replace(world, number))
        await asyncio.sleep((WAVE - DRAIN) / REPLACED)


async def call_in_hand(link):
    """Waits until a call of n0 to discovery is out: it is reset once the zone is back. At most 7 s."""
    loop = asyncio.get_running_loop()
    until = loop.time() + 7
    while loop.time() < until and not any(0.3 < loop.time() - since < 2 for since in link.silent_since):
        await asyncio.sleep(0.01)


async def run(world):
    """Plays the day."""
    judge = world.judge = DrainJudge(world)
    world.build(
        [(f"s{number}", ZONES[number % 2]) for number in range(10)],
        [(number, ZONES[number % 2]) for number in range(10)],
        ["n0", "n1"],
    )
    world.rates = {number: 3.0 + 0.4 * (number % 7) for number in range(SLICES)}
    world.store = {number: {f"s{number % 10}": 1.0} for number in range(SLICES)}
    world.charge = {number: f"n{number // 10 % 2}" for number in range(SLICES)}
    for proxy in world.proxies:
        for number in range(SLICES):
            proxy.read(number)
    await world.start_coordinator("n0", 0, free_port(), "klein-windhoek")
    await world.start_coordinator("n1", 1, free_port(), "katutura")
    world.has_begun = True
    traffic = Traffic(world, 4.0)
    traffic.on_send = judge.send
    traffic.start()
    collectors = [Collector(traffic, name, zone, zone == ZONES[0]) for name in ("n0", "n1") for zone in ZONES]
    for collector in collectors:
        world.spawn(collector.run())
    await asyncio.sleep(8)
    mine = world.offices["n0"].slices()
    if TROUBLE:
        world.note("the zone of n0 is cut off")
        for link in world.links("n0"):
            link.cut(come_up=link is world.discovery["n0"])
        for collector in collectors[:2]:
            collector.is_cut = True
    world.spawn(wave(world))
    await asyncio.sleep(TAKEOVER)
    if TROUBLE:
        world.hand_over(mine, "n1")
    await asyncio.sleep(CUT - TAKEOVER)
    if TROUBLE:
        await call_in_hand(world.discovery["n0"])
        world.note("the zone of n0 is back")
        world.hand_over(mine, "n0")
        for link in world.links("n0"):
            link.restore()
        for collector in collectors[:2]:
            collector.is_cut = False
    await asyncio.sleep(WATCHED)
    world.note(f"requests: {dict(traffic.outcomes)}")
    return len(judge.broken), ""


if __name__ == "__main__":
    main(
        HERE, windhoek_central(SLICES, 10), run, "drains are kept", transit=(0.085, 0.33), sync=(0.085, 0.34)
    )
