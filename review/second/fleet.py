"""Coordinators that share a fleet by an operator's file, and backends that are replaced by new ones."""

import asyncio
import time
from pathlib import Path

from backend import Backend
from runner import free_port


class Fleet:
    """Coordinators of a world that are members of one fleet."""

    def __init__(self, world, zones):
        """`zones`: the zone of each coordinator, by its name."""
        self.world = world
        self.zones = zones
        self.member_ports = {name: free_port() for name in zones}
        self.ports = {name: free_port() for name in zones}

    def _operator_file(self, name):
        folder = Path(self.world.temporary)
        members = "".join(
            f"member {other} 127.0.0.1:{port} votes\n" for other, port in self.member_ports.items()
        )
        path = folder / f"{name}.conf"
        path.write_text(
            f"name {name}\ncontrol {folder}/{name}.sock\nledger {folder}/{name}.ledger\nfleet f\n{members}"
        )
        return path

    async def start(self, name):
        """Starts a coordinator, at the same addresses each time."""
        number = list(self.zones).index(name)
        words = f"run --operator {self._operator_file(name)}"
        await self.world.start_coordinator(name, number, self.ports[name], self.zones[name], words)

    async def is_founded(self):
        """Waits until all coordinators may act, by their logs; returns whether they may."""
        for _ in range(300):
            if all('"now":"valid"' in self.world.log_of(name) for name in self.zones):
                return True
            await asyncio.sleep(0.1)
        return False


async def replace(world, number, drain):
    """Takes a backend out and puts a new one in its place: listed as draining for `drain` s, then ended."""
    old = world.backends[f"s{number}"]
    new = Backend(world, f"t{number}", old.zone)
    new.started_at_ms = round(time.time() * 1000)
    for name in world.offices:
        new.probe_address(name)
    world.backends[new.name] = new
    old.state = "DRAINING"
    world.judge.leaves(old.name)
    world.generation += 1
    world.note(f"{old.name} drains")
    await asyncio.sleep(drain)
    old.state = "DELETED"
    world.generation += 1
    old.die()
    world.note(f"{old.name} has ended")
