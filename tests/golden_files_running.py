"""Keys of the control socket responses of running processes: a sidecar, a coordinator, a subscriber."""

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


def key_tree(value: object) -> object:
    """Returns the keys without their values; keys of counters are left out, as they depend on past events."""
    if not isinstance(value, dict):
        return None
    return {key: key_tree(child) if key != "counters" else None for key, child in value.items()}


def status_keys(process: UpgradableProcess) -> object:
    responses: list[dict] = []
    process.on_command("status", {"ask": "status"}, responses.append)
    return key_tree(orjson.loads(orjson.dumps(responses[0], default=str)))


def sidecar() -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        field = Field(Path(folder), more=[f"state {folder}/state"])
        try:
            field.start()
            assert field.get().status == 200
            responses = {name: key_tree(field.ask(name)) for name in ("status", "snapshot", "upgrade")}
        finally:
            field.close()
    return as_json(responses)


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
        process.participant.start_empty({})
        try:
            return as_json({"status": status_keys(process)})
        finally:
            process.close()


def subscriber() -> bytes:
    with signals_kept():
        process = SubscriberProcess(operator_file.read(SUBSCRIBER))
        process.companion.open()
        try:
            return as_json({"status": status_keys(process)})
        finally:
            process.companion.close()


RUNNING: dict[str, Callable[[], bytes]] = {
    "sidecar": sidecar,
    "coordinator": coordinator,
    "subscriber": subscriber,
}


def made() -> dict[str, bytes]:
    return {f"{name}.json": make() for name, make in RUNNING.items()}
