"""Keys of what running processes answer over the control socket: a sidecar, a coordinator, a subscriber."""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path

import orjson

from field import Field
from golden_files import as_json
from golden_files_control import SUBSCRIBER, signals_kept
from indigohitch.config import operator_file
from indigohitch.coordinator import CoordinatorProcess
from indigohitch.fleet.node.subscriber_process import SubscriberProcess
from indigohitch.upgradable_process import UpgradableProcess
from stage import SETTINGS
from waiting import free_address


def tree(value: object) -> object:
    """Keys alone; of the counters none, as they tell what has happened."""
    if not isinstance(value, dict):
        return None
    return {key: tree(one) if key != "counters" else None for key, one in value.items()}


def status(process: UpgradableProcess) -> object:
    found: list[dict] = []
    process.on_command("status", {"ask": "status"}, found.append)
    return tree(orjson.loads(orjson.dumps(found[0], default=str)))


def sidecar() -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        field = Field(Path(folder), more=[f"state {folder}/state"])
        try:
            field.start()
            assert field.get().status == 200
            found = {what: tree(field.ask(what)) for what in ("status", "snapshot", "upgrade")}
        finally:
            field.close()
    return as_json(found)


def coordinator() -> bytes:
    with tempfile.TemporaryDirectory() as folder, signals_kept():
        file = Path(folder) / "config.json"
        file.write_bytes(
            orjson.dumps(
                {
                    "name": "n0",
                    "listen": free_address(),
                    "discovery": free_address(),
                    "seed": "8c1f30d2",
                    "known": {"generation": 4, "reset": True, "instances": []},
                    "settings": SETTINGS,
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "store": {"address": free_address()},
                }
            )
        )
        process = CoordinatorProcess(
            {"BALANCER_CONFIG": str(file)}, operator_file.read("control /x\n"), False
        )
        process.side.start_empty({})
        try:
            return as_json({"status": status(process)})
        finally:
            process.close()


def subscriber() -> bytes:
    with signals_kept():
        process = SubscriberProcess(operator_file.read(SUBSCRIBER))
        process.companion.open()
        try:
            return as_json({"status": status(process)})
        finally:
            process.companion.close()


RUNNING: dict[str, Callable[[], bytes]] = {
    "sidecar": sidecar,
    "coordinator": coordinator,
    "subscriber": subscriber,
}


def made() -> dict[str, bytes]:
    return {f"{name}.json": make() for name, make in RUNNING.items()}
