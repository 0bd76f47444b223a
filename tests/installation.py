"""A fleet of processes that distributes: one voter, two distributors, and what subscribes at them."""

import signal
import sys

from proofs.fleetkit import Fleet, until
from proofs.fleetkit.files import held_port
from proofs.fleetkit.processes import Member
from proofs.scalekit.changes import asked

NAMES = ["d1", "d2"]


class Installation:
    """One voter, two distributors, and subscribers."""

    def __init__(self, path):
        self.path, self.ports = path, {name: held_port() for name in NAMES}
        self.at = {name: "{}:{}".format(*port.getsockname()) for name, port in self.ports.items()}
        self.lines = [f"distributor {name} {at}" for name, at in self.at.items()]
        self.fleet = Fleet(path, voters=1, more=self.lines, relay=False)
        for name in NAMES:
            self.fleet.place(name, False)
        self.fleet.write()
        self.subscribers = {}

    def distribute(self, word, services):
        line = {"ask": f"distribute {word}", "services": services}
        told = until(lambda: (told := self.try_to(line)) and told.get("index") and told, 10, "an entry")
        return told["index"]

    def try_to(self, line):
        try:
            return asked(self.fleet.places["v1"].control, line)
        except (OSError, ValueError):
            return None

    def subscribe(self, name, *services):
        folder = self.path / name
        folder.mkdir()
        self.write(name, *services)
        words = [sys.executable, "-m", "indigohitch", "run", "--operator"]
        one = self.subscribers[name] = Member(folder, words, folder / "conf", str(folder / "control"))
        one.start()
        return one

    def write(self, name, *services):
        """The operator's file of a subscriber."""
        file = self.path / name / "conf"
        lines = [f"name {name}", "fleet proof", f"control {self.path / name / 'control'}", *self.lines]
        file.write_text("\n".join([*lines, f"subscribe {' '.join(services)}", ""]))
        return file

    def held(self, name, service):
        return (self.subscribers[name].ask(f"resources {service}") or {}).get("resources")

    def status(self, name):
        return (self.subscribers[name].ask("status") or {}).get("distribution", {})

    def at_distributor(self, name):
        return ((self.fleet.of_fleet(name) or {}).get("works") or {}).get("distribution") or {}

    def close(self):
        for one in self.subscribers.values():
            one.signal(signal.SIGKILL)
            one.ended()
        self.fleet.close()
        for port in self.ports.values():
            port.close()
