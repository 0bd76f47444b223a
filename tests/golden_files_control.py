"""Content of the golden files of the control socket: commands, replies and the keys of `status`."""

from __future__ import annotations

import os
import signal
import socket
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import orjson

from golden_files import as_json
from indigohitch.config import operator_file, sidecar_file
from indigohitch.control import ControlSocket
from indigohitch.fleet.node.headless_member import HeadlessMember
from indigohitch.fleet.node.phases import Phase as MemberPhase
from indigohitch.fleet.node.subscriber_process import SubscriberProcess
from indigohitch.fleet.raft.state import Role
from indigohitch.sidecar.service import Sidecar
from indigohitch.upgradable_parts import ProcessPhase
from indigohitch.upgradable_process import UpgradableProcess
from indigohitch.upgrade.phases import Phase as UpgradePhase
from nodes import Looped, World

SIDECAR = """name eros-1
listen 127.0.0.1:{port}
rpc search idempotent soft 1s deadline 2s
pool nodes slices 8
server n1 127.0.0.1:2 pool nodes
route GET /a/{{b}} rpc search pool nodes key path 1
"""
MEMBER = "name n1\nfleet whk\nmember n1 127.0.0.1:7401 votes\nledger {folder}/n1\n"
SUBSCRIBER = "name c1\nfleet whk\ndistributor d1 127.0.0.1:7501\nsubscribe maps\n"
# Lines that are written to the socket.
COMMANDS = (
    b'{"ask": "status"}',
    b'{"ask": "note TEXT", "mark": 7, "kind": "notes.add", "body": ["text"]}',
    b'{"ask": 5, "mark": null}',
    b"not JSON",
    b'{"mark": 1}',
    b"[]",
)


def dialogue() -> bytes:
    """Returns each command line, the arguments that the handler of the process gets, and the reply line."""
    looped = Looped()
    lines = []

    def handle(name: str, command: dict, reply: Callable[[dict], None]) -> None:
        lines[-1]["told"] = [name, command]
        reply({"result": name, "number": 1.5, "path": Path("/x")})

    with tempfile.TemporaryDirectory() as folder:
        path = f"{folder}/control"
        control = ControlSocket(looped.loop, path, handle)
        mode = os.stat(path).st_mode & 0o777
        with socket.socket(socket.AF_UNIX) as sock:
            sock.connect(path)
            sock.setblocking(False)
            for line in COMMANDS:
                lines.append({"asked": line.decode()})
                sock.sendall(line + b"\n")
                lines[-1]["answered"] = looped.until(lambda: received(sock)).decode()
        control.close(unlink=True)
        looped.loop.close()
    return as_json({"mode": f"{mode:o}", "lines": lines})


def received(sock: socket.socket) -> bytes:
    try:
        return sock.recv(65536)
    except BlockingIOError:
        return b""


@contextmanager
def signals_kept() -> Iterator[None]:
    """Restores the signal handlers that an UpgradableProcess replaces."""
    handlers = {number: signal.getsignal(number) for number in UpgradableProcess.SIGNALS}
    wakeup = signal.set_wakeup_fd(-1)
    try:
        yield
    finally:
        signal.set_wakeup_fd(wakeup)
        for number, handler in handlers.items():
            signal.signal(number, handler)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def processes(folder: str) -> dict[str, UpgradableProcess]:
    """Creates a process of each kind without starting it, so that none has an open socket."""
    sidecar = sidecar_file.read(SIDECAR.format(port=free_port()))
    member = operator_file.read(MEMBER.format(folder=folder))
    return {
        "sidecar": Sidecar("-", sidecar),
        "member": HeadlessMember(member, False),
        "subscriber": SubscriberProcess(operator_file.read(SUBSCRIBER)),
    }


def response(process: UpgradableProcess, command: str) -> dict:
    responses: list[dict] = []
    process.on_command(command, {"ask": command}, responses.append)
    return orjson.loads(orjson.dumps(responses[0], default=str))


def answers() -> bytes:
    """Returns the whole replies of processes that are starting, without their process ids."""
    with tempfile.TemporaryDirectory() as folder, signals_kept():
        return as_json(
            {
                name: {
                    command: response(process, command) | ({"pid": 0} if command == "status" else {})
                    for command in PROCESS_COMMANDS
                }
                for name, process in processes(folder).items()
            }
        )


PROCESS_COMMANDS = ("status", "upgrade", "snapshot", "no such word")


def member_status() -> bytes:
    """Returns the status keys that a member adds, at the leader of three voters and at another voter."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(Path(folder))
        try:
            world.start().valid()
            leader = world.until(world.leader)
            follower = next(name for name in world.nodes if name != leader)
            status_keys = {"leader": keys(world.figures(leader)), "follower": keys(world.figures(follower))}
        finally:
            world.close()
    return as_json(status_keys)


def keys(figures: dict) -> dict:
    """Returns the upper levels of keys only: those below depend on past events."""
    return {
        "keys": list(figures),
        "me": list(figures["me"]),
        "voters": list(figures["voters"][0]),
        "disk": list(figures["disk"]),
        "link": list(next(iter(figures["links"].values()))),
        "works": {name: list(work) for name, work in figures["works"].items()},
    }


def phases() -> bytes:
    """Returns all values that `phase`, `upgrade` and `role` can have."""
    return as_json(
        {
            "phase": sorted(member.value for member in ProcessPhase),
            "upgrade": sorted(member.value for member in UpgradePhase),
            "fleet.phase": sorted(member.value for member in MemberPhase),
            "fleet.role": sorted(member.value for member in Role),
        }
    )


def made() -> dict[str, bytes]:
    return {
        "dialogue.json": dialogue(),
        "answers.json": answers(),
        "member-status.json": member_status(),
        "phases.json": phases(),
    }
