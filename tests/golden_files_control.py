"""The control socket: what is asked and answered, and the keys of `status` of each kind of process."""

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
# One line each that is written to the socket.
ASKED = (
    b'{"ask": "status"}',
    b'{"ask": "note TEXT", "mark": 7, "kind": "notes.add", "body": ["text"]}',
    b'{"ask": 5, "mark": null}',
    b"not JSON",
    b'{"mark": 1}',
    b"[]",
)


def dialogue() -> bytes:
    """Each line that is asked, what the program behind the socket is told, and the line that answers."""
    looped, found = Looped(), []

    def asked(what: str, line: dict, answer: Callable[[dict], None]) -> None:
        found[-1]["told"] = [what, line]
        answer({"result": what, "number": 1.5, "path": Path("/x")})

    with tempfile.TemporaryDirectory() as folder:
        path = f"{folder}/control"
        control = ControlSocket(looped.loop, path, asked)
        mode = os.stat(path).st_mode & 0o777
        with socket.socket(socket.AF_UNIX) as sock:
            sock.connect(path)
            sock.setblocking(False)
            for line in ASKED:
                found.append({"asked": line.decode()})
                sock.sendall(line + b"\n")
                found[-1]["answered"] = looped.until(lambda: received(sock)).decode()
        control.close(unlink=True)
        looped.loop.close()
    return as_json({"mode": f"{mode:o}", "lines": found})


def received(sock: socket.socket) -> bytes:
    try:
        return sock.recv(65536)
    except BlockingIOError:
        return b""


@contextmanager
def signals_kept() -> Iterator[None]:
    """A process takes the signals for itself."""
    kept = {number: signal.getsignal(number) for number in UpgradableProcess.SIGNALS}
    wakeup = signal.set_wakeup_fd(-1)
    try:
        yield
    finally:
        signal.set_wakeup_fd(wakeup)
        for number, handler in kept.items():
            signal.signal(number, handler)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def processes(folder: str) -> dict[str, UpgradableProcess]:
    """Not started: no socket of theirs is open."""
    sidecar = sidecar_file.read(SIDECAR.format(port=free_port()))
    member = operator_file.read(MEMBER.format(folder=folder))
    return {
        "sidecar": Sidecar("-", sidecar),
        "member": HeadlessMember(member, False),
        "subscriber": SubscriberProcess(operator_file.read(SUBSCRIBER)),
    }


def told(process: UpgradableProcess, what: str) -> dict:
    found: list[dict] = []
    process.on_command(what, {"ask": what}, found.append)
    return orjson.loads(orjson.dumps(found[0], default=str))


def answers() -> bytes:
    """Of processes that are starting: whole, but for the number of the process."""
    with tempfile.TemporaryDirectory() as folder, signals_kept():
        return as_json(
            {
                name: {what: told(process, what) | ({"pid": 0} if what == "status" else {}) for what in WORDS}
                for name, process in processes(folder).items()
            }
        )


WORDS = ("status", "upgrade", "snapshot", "no such word")


def member_status() -> bytes:
    """The keys that a member adds, of the leader of a fleet of three and of one that follows."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(Path(folder))
        try:
            world.start().valid()
            leader = world.until(world.leader)
            follower = next(name for name in world.nodes if name != leader)
            found = {"leader": keys(world.figures(leader)), "follower": keys(world.figures(follower))}
        finally:
            world.close()
    return as_json(found)


def keys(figures: dict) -> dict:
    """What is below a part's own keys depends on what the fleet has been through."""
    return {
        "keys": list(figures),
        "me": list(figures["me"]),
        "voters": list(figures["voters"][0]),
        "disk": list(figures["disk"]),
        "link": list(next(iter(figures["links"].values()))),
        "works": {name: list(one) for name, one in figures["works"].items()},
    }


def phases() -> bytes:
    """All words that `phase`, `upgrade` and `role` can have."""
    return as_json(
        {
            "phase": sorted(one.value for one in ProcessPhase),
            "upgrade": sorted(one.value for one in UpgradePhase),
            "fleet.phase": sorted(one.value for one in MemberPhase),
            "fleet.role": sorted(one.value for one in Role),
        }
    )


def made() -> dict[str, bytes]:
    return {
        "dialogue.json": dialogue(),
        "answers.json": answers(),
        "member-status.json": member_status(),
        "phases.json": phases(),
    }
