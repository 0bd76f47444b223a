"""Runs the cases of the golden files of the configuration: settings, load reports and files."""

import json
import os
import re
import tempfile
from pathlib import Path

from golden_wire import plain
from indigohitch import service
from indigohitch.platform_protocol.front import Front
from indigohitch.settings import parse_load_report, parse_settings

PACKAGE = Path(service.__file__).parent
LOOKUP = re.compile(
    r'(?:\b(?:boot|bootstrap|settings)(?:\.get\(|\[)|\b(?:_figure|_numeric_setting)\()"(\w+)"'
)

# Path on the wire: the name under which the decision module reads the value.
SETTING_NAMES = {
    "balancers": "coordinators",
    "slot-no": "own_number",
    "zone": "zone",
    "failure-domains": "zones",
    "kinds": "kinds",
    "period": "batch_gap",
    "discovery": "discovery",
    "weight-kind": "weight_kind",
    "value-by": "value_by",
    "service-type": "service_kind",
    "bounds.connect-timeout": "connect_timeout",
    "bounds.cpu-us-per-s": "cpu_us_per_s",
    "bounds.keepalive": "keepalive",
    "bounds.max-streams": "max_streams",
    "bounds.may-probe": "may_probe",
    "bounds.may-tell": "may_tell",
    "rules.cold-from": "cold_from",
    "rules.warm-within": "warm_within",
    "rules.drain-grace": "drain_grace",
    "rules.fall-multiple": "fall_multiple",
    "rules.overload-for": "overload_for",
    "rules.must-ask-in": "must_ask_in",
    "rules.full-may-have-run": "full_may_have_run",
    "rules.dropped-stay-open": "dropped_stay_open",
    "report.how": "load_comes",
    "family-info.admission": "admission",
    "family-info.queue-cap": "queue_cap",
    "family-info.empty-for": "bare_limit",
    "family-info.homed-by-zone": "homed_by_zone",
    "family-info.class-own-zone": "method_own_zone",
    "family-info.class-writes": "method_writes",
    "family-info.cost-per-line": "line_price",
    "family-info.counted-over": "counted_over",
    "family-info.data-plane-size": "proxies",
    "family-info.default-retry": "default_tries",
    "family-info.egress-per-s": "lines_per_s",
    "family-info.envelope": "envelope",
    "family-info.exclusive": "exclusive",
    "family-info.fails-to-eject": "fails_to_eject",
    "family-info.initial-set": "standing_set",
    "family-info.keeps-writing": "keeps_writing",
    "family-info.key-ranges": "slices",
    "family-info.lb-method": "pick",
    "family-info.messages-most": "messages_most",
    "family-info.push-delay-max": "transit_most",
    "family-info.transit": "transit",
    "family-info.reassign-price": "move_price",
    "family-info.report-every": "report_every",
    "family-info.reports-per-s": "reports_per_s",
    "family-info.settle": "settle",
    "family-info.sockets-min": "sockets_min",
    "family-info.try-aims": "try_soft_deadlines",
    "family-info.waits-for-table": "waits_for_table",
    "family-info.warm-keys": "warm_keys",
    "penalties.connection": "connection_price",
    "penalties.cross-zone": "cross_zone_price",
    "penalties.discovery": "discovery_price",
    "penalties.handshake": "handshake_price",
    "penalties.late-fail": "late_abort_price",
    "penalties.peer": "peer_price",
    "penalties.probe": "probe_price",
    "penalties.waste": "waste_price",
    "result-mix.tail": "tail_weight",
    "result-mix.tail-miss": "tail_miss",
    "result-mix.whole": "whole_weight",
    "result-mix.worst-class": "worst_method_weight",
    "result-mix.worst-window": "worst_window_weight",
}


def _method(method) -> dict:
    return {
        "name": method.name,
        "soft deadline": method.soft_deadline,
        "deadline": method.deadline,
        "criticality": method.criticality,
        "repeat": method.repeat,
        "dedup scope": method.dedup_scope,
        "memory span": method.memory_span,
    }


def settings(given: dict) -> dict:
    """Parses start settings; returns values by path on the wire, methods and load report columns."""
    try:
        parsed, columns = parse_settings(given)
    except ValueError:
        return {"refused": True}
    assert parsed.keys() <= {*SETTING_NAMES.values(), "methods"}
    return {
        "values": {path: parsed[name] for path, name in SETTING_NAMES.items() if name in parsed},
        "methods": [_method(method) for method in parsed["methods"]],
        "columns": columns,
    }


def load(given: list) -> dict:
    """Parses a load report given as (name, value) pairs."""
    return parse_load_report(given)


class ReadRecordingDict(dict):
    """Records which of its keys were read."""

    def __init__(self, values: dict) -> None:
        super().__init__(values)
        self.read: set[str] = set()

    def __getitem__(self, key: str) -> object:
        self.read.add(key)
        return super().__getitem__(key)


def configuration(given: dict) -> dict:
    """Reads the file that BALANCER_CONFIG names and the environment; returns what the front uses."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "c.json")
        with open(path, "w", encoding="ascii") as file:
            json.dump(given["file"], file)
        environ = given["environ"] | {"BALANCER_CONFIG": path}
        loaded = service.read_configuration(environ, "BALANCER_LISTEN", "BALANCER_DISCOVERY")
    loaded["limits"] = ReadRecordingDict(loaded["limits"])
    seed, _, start_settings, columns, known, addresses, store, discovery = Front._read(loaded)
    return {
        "listen": loaded["listen"],
        "seed": seed,
        "limits read": sorted(loaded["limits"].read),
        "discovery asked": start_settings[SETTING_NAMES["discovery"]],
        "columns": columns,
        "known": plain(known),
        "addresses": addresses,
        "store": list(store),
        "discovery": list(discovery),
    }


def requested_names() -> set[str]:
    """Returns the setting names that the sources of the decision module and the front look up."""
    paths = [*(PACKAGE / "logic").glob("*.py"), *(PACKAGE / "platform_protocol").glob("*.py")]
    return {name for path in paths for name in LOOKUP.findall(path.read_text())}
