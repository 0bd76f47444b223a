"""Processes for tests of scoped distribution: a fleet of one voter and two distributors, and subscribers."""

import signal
import sys

from proofs.fleetkit import Fleet, until
from proofs.fleetkit.files import held_port
from proofs.fleetkit.processes import Member
from proofs.scalekit.changes import asked

NAMES = ["d1", "d2"]


class Installation:
    """A fleet of one voter and two distributors, with subscribers that tests add by `subscribe`."""

    def __init__(self, path):
        self.path = path
        self.ports = {name: held_port() for name in NAMES}
        self.at = {name: "{}:{}".format(*port.getsockname()) for name, port in self.ports.items()}
        self.lines = [f"distributor {name} {address}" for name, address in self.at.items()]
        self.fleet = Fleet(path, voters=1, more=self.lines, relay=False)
        for name in NAMES:
            self.fleet.place(name, False)
        self.fleet.write()
        self.subscribers = {}

    def distribute(self, action, services):
        """Commits a change and returns the index of its entry."""
        request = {"ask": f"distribute {action}", "services": services}
        reply = until(
            lambda: (reply := self.try_to(request)) and reply.get("index") and reply, 10, "an entry"
        )
        return reply["index"]

    def try_to(self, request):
        """Returns the reply of the voter's control socket, or None if that fails."""
        try:
            return asked(self.fleet.places["v1"].control, request)
        except (OSError, ValueError):
            return None

    def subscribe(self, name, *services):
        directory = self.path / name
        directory.mkdir()
        self.write(name, *services)
        command = [sys.executable, "-m", "indigohitch", "run", "--operator"]
        subscriber = Member(directory, command, directory / "conf", str(directory / "control"))
        self.subscribers[name] = subscriber
        subscriber.start()
        return subscriber

    def write(self, name, *services):
        """Writes a subscriber's configuration file and returns its path."""
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
        for subscriber in self.subscribers.values():
            subscriber.signal(signal.SIGKILL)
            subscriber.ended()
        self.fleet.close()
        for port in self.ports.values():
            port.close()
