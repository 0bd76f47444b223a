"""A small deployment around real coordinators: store, proxies, clients, backends, discovery, collectors.

All of it is one process on loopback addresses; the coordinators are processes of their own, started with the
command `run` of the deploy file.
"""

import asyncio
import contextlib
import gc
import json
import os
import random
import signal
import tempfile
import time
import tomllib
from pathlib import Path

from backend import Backend
from links import Listener, answer, fail_loudly, http
from relay import Office, Proxy

ROOT = Path(__file__).resolve().parents[2]


class World:
    """The stand-ins, and the record of what passed."""

    def __init__(self, folder, settings, seed, work=(0.10, 0.14), transit=(0.14, 0.47), sync=(0.11, 0.48)):
        self.folder = Path(folder)
        self.settings = settings
        self.chance = random.Random(seed)
        self.work, self.transit, self.sync = work, transit, sync
        self.methods = [entry["name"] for entry in settings["classes"]]
        self.write_method = self.methods[-1]
        self.store = {}  # weights by backend, by slice
        self.charge = {}  # the coordinator in charge of each slice
        self.rates = {}  # writes a second by slice, over all proxies
        self.proxies, self.offices, self.backends, self.coordinators = [], {}, {}, {}
        self.discovery = {}  # a listener for each coordinator
        self.generation = 1
        self.counts = {}
        self.judge = None
        self.has_begun = False
        self.started_at = time.monotonic()
        self.lines = []
        self.tasks = set()
        self.stack = contextlib.ExitStack()
        self.temporary = self.stack.enter_context(tempfile.TemporaryDirectory())

    def note(self, text):
        """Adds a line to the record."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f} {text}")

    def spawn(self, work):
        """Runs a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(fail_loudly)

    # ---- store and proxies

    def change(self, lines, backend, weight):
        """Sets or removes a line; in an exclusive deployment a new backend replaces the old."""
        if weight > 0 and self.settings["family-info"]["exclusive"]:
            lines.clear()
        lines.pop(backend, None)
        if weight > 0:
            lines[backend] = weight

    def put(self, table, backend, weight):
        """Sets or removes a line of a table in the store."""
        if weight > 0 and backend not in self.store[table]:
            self.judge.owner(table, backend)
        self.change(self.store[table], backend, weight)

    def send(self, proxy, orders, office):
        """Puts a message on its way to a proxy."""
        due = asyncio.get_running_loop().time() + self.chance.uniform(*self.transit)
        proxy.queue.put_nowait((due, orders, office))

    def hand_over(self, tables, coordinator):
        """Gives slices to another coordinator, tells both, and has the proxies read them again."""
        for table in tables:
            old = self.charge[table]
            self.charge[table] = coordinator
            self.judge.given(table)
            self.note(f"slice {table}: from {old} to {coordinator}, its lines are {list(self.store[table])}")
            self.offices[old].tell("owner", range=table, flag=0)
            self.offices[coordinator].give(table)
        for proxy in self.proxies:
            due = asyncio.get_running_loop().time() + self.chance.uniform(*self.sync)
            proxy.queue.put_nowait((due, [f"read,{n}" for n in tables], self.offices[coordinator]))

    def build(self, backends, proxies, coordinators):
        """Creates the stand-ins; each argument has pairs of a name or number and a zone."""
        self.backends = {name: Backend(self, name, zone) for name, zone in backends}
        self.proxies = [Proxy(number, zone, self) for number, zone in proxies]
        for name in coordinators:
            self.offices[name] = Office(self, name)
            self.discovery[name] = Listener(http(self._discovery(name)))

    # ---- discovery

    def listed(self, coordinator):
        """Returns the list of backends in discovery's form."""
        return {
            "generation": self.generation,
            "reset": True,
            "instances": [
                {
                    "instanceId": backend.name,
                    "hostPort": backend.probe_address(coordinator),
                    "zone": backend.zone,
                    "machineType": self.settings["kinds"][0],
                    "cell": 0,
                    "lifecycle": backend.state,
                    "weight": 1.0,
                    "startedAtMs": backend.started_at_ms,
                }
                for backend in self.backends.values()
                if backend.state != "DELETED"
            ],
        }

    def _discovery(self, name):
        async def handle(writer, method, target, body):
            if "from=" in target:
                words = dict(pair.split("=") for pair in target.partition("?")[2].split("&"))
                until = time.monotonic() + int(words["hold_ms"]) / 1000
                while self.generation <= int(words["from"]) and time.monotonic() < until:
                    await asyncio.sleep(0.02)
                if self.generation <= int(words["from"]):
                    nothing = {"generation": self.generation, "reset": False, "instances": []}
                    answer(writer, json.dumps(nothing))
                    return
            answer(writer, json.dumps(self.listed(name)))
            if not self.discovery[name].is_cut:
                self.judge.told(name)

        return handle

    # ---- coordinators

    def links(self, name):
        """Returns all listeners that one coordinator reaches others by."""
        probes = [backend.probe_listeners[name] for backend in self.backends.values()]
        return [self.offices[name].listener, self.discovery[name], *probes]

    async def start_coordinator(self, name, number, port, zone, words=""):
        """Starts a coordinator with the command of the deploy file and waits until it is ready.

        `words` are added to the command.
        """
        config = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "discovery": self.discovery[name].address,
            "seed": f"{self.chance.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "store": {"address": self.offices[name].listener.address},
            "known": self.listed(name),
            "settings": self.settings | {"slot-no": number, "zone": zone},
        }
        path = Path(self.temporary) / f"{name}.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        log = self.stack.enter_context((Path(self.temporary) / f"{name}.log").open("ab"))
        environ = os.environ | {
            "BALANCER_NAME": name,
            "BALANCER_CONFIG": str(path),
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_DISCOVERY": config["discovery"],
        }
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", f"{run} {words}", cwd=ROOT, env=environ, stdout=log, stderr=log
        )
        self.coordinators[name] = (process, port)
        await self._ready(port)
        self.note(f"coordinator {name} is ready")

    async def _ready(self, port):
        for _ in range(1500):
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"hb\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line.startswith(b"hb_ok"):
                    return
            await asyncio.sleep(0.01)
        raise RuntimeError("a coordinator did not become ready")

    def log_of(self, name):
        """Returns the log of a coordinator."""
        return (Path(self.temporary) / f"{name}.log").read_text()

    async def _end_tasks(self):
        """Cancels all that runs in the background and closes the listeners."""
        for name in self.offices:
            for link in self.links(name):
                link.close()
        for backend in self.backends.values():
            backend.listener.close()
        others = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        for name in self.offices:
            for link in self.links(name):
                link.close()  # again: connections may have come up meanwhile
        del others
        gc.collect()  # streams in reference cycles close while the loop still runs
        await asyncio.sleep(0.05)

    async def stop(self):
        """Ends all processes and writes the record."""
        for name, (process, _) in self.coordinators.items():
            if process.returncode is not None:
                self.note(f"coordinator {name} ended by itself with {process.returncode}")
                continue
            process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), 2)
            except TimeoutError:
                process.kill()
                await process.wait()
        await self._end_tasks()
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")
        if keep := os.environ.get("KEEP_LOGS"):
            for name in self.coordinators:
                (Path(keep) / f"{name}.log").write_text(self.log_of(name))
        self.stack.close()
