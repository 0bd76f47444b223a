"""Parses start settings and load reports, for the bench and for the platform.

The settings are an object that the bench sends in `Configure` and that is part of the platform's
configuration.  Only this module defines their names, their paths and which of them are durations.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from . import interface
from .errors import InvalidRequestError

REMEDY = "correct `settings` in the configuration"

_RETRY_SAFETY = {"read_like": "idempotent", "idempotency_key": "tokened", "non_idempotent": "non_idempotent"}

# Names in load reports, as columns in the settings and as sent by proxies and backends, to internal names.
_LOAD_NAMES = {
    "busy_reqs": "held",
    "inflight": "held",
    "pending": "queued",
    "queue": "queued",
    "cpu_share": "busy",
    "util": "busy",
    "svc_ms": "service_time",
    "latency_ms": "service_time",
    "served_ps": "ok_rate",
    "qps": "ok_rate",
    "failed_ps": "failure_rate",
    "eps": "failure_rate",
}

# Path on the wire, internal name, and whether the value is in milliseconds.
_SETTINGS = [
    ("balancers", "coordinators", False),
    ("slot-no", "own_number", False),
    ("zone", "zone", False),
    ("failure-domains", "zones", False),
    ("kinds", "kinds", False),
    ("period", "batch_gap", True),
    ("discovery", "discovery", False),
    ("weight-kind", "weight_kind", False),
    ("value-by", "value_by", False),
    ("service-type", "service_kind", False),
    ("bounds.connect-timeout", "connect_timeout", True),
    ("bounds.cpu-us-per-s", "cpu_us_per_s", False),
    ("bounds.keepalive", "keepalive", True),
    ("bounds.max-streams", "max_streams", False),
    ("bounds.may-probe", "may_probe", False),
    ("bounds.may-tell", "may_tell", False),
    ("rules.cold-from", "cold_from", False),
    ("rules.warm-within", "warm_within", True),
    ("rules.drain-grace", "drain_grace", True),
    ("rules.fall-multiple", "fall_multiple", False),
    ("rules.overload-for", "overload_for", True),
    ("rules.must-ask-in", "must_ask_in", True),
    ("rules.full-may-have-run", "full_may_have_run", False),
    ("rules.dropped-stay-open", "dropped_stay_open", False),
    ("report.how", "load_comes", False),
    ("family-info.admission", "admission", False),
    ("family-info.queue-cap", "queue_cap", False),
    ("family-info.empty-for", "bare_limit", True),
    ("family-info.homed-by-zone", "homed_by_zone", False),
    ("family-info.class-own-zone", "method_own_zone", False),
    ("family-info.class-writes", "method_writes", False),
    ("family-info.cost-per-line", "line_price", False),
    ("family-info.counted-over", "counted_over", True),
    ("family-info.data-plane-size", "proxies", False),
    ("family-info.default-retry", "default_tries", False),
    ("family-info.egress-per-s", "lines_per_s", False),
    ("family-info.envelope", "envelope", False),
    ("family-info.exclusive", "exclusive", False),
    ("family-info.fails-to-eject", "fails_to_eject", False),
    ("family-info.initial-set", "standing_set", False),
    ("family-info.keeps-writing", "keeps_writing", True),
    ("family-info.key-ranges", "slices", False),
    ("family-info.lb-method", "pick", False),
    ("family-info.messages-most", "messages_most", False),
    ("family-info.push-delay-max", "transit_most", True),
    ("family-info.transit", "transit", True),
    ("family-info.reassign-price", "move_price", False),
    ("family-info.report-every", "report_every", True),
    ("family-info.reports-per-s", "reports_per_s", False),
    ("family-info.settle", "settle", True),
    ("family-info.sockets-min", "sockets_min", False),
    ("family-info.try-aims", "try_soft_deadlines", False),
    ("family-info.waits-for-table", "waits_for_table", True),
    ("family-info.warm-keys", "warm_keys", False),
    ("penalties.connection", "connection_price", False),
    ("penalties.cross-zone", "cross_zone_price", False),
    ("penalties.discovery", "discovery_price", False),
    ("penalties.handshake", "handshake_price", False),
    ("penalties.late-fail", "late_abort_price", False),
    ("penalties.peer", "peer_price", False),
    ("penalties.probe", "probe_price", False),
    ("penalties.waste", "waste_price", False),
    ("result-mix.tail", "tail_weight", False),
    ("result-mix.tail-miss", "tail_miss", False),
    ("result-mix.whole", "whole_weight", False),
    ("result-mix.worst-class", "worst_method_weight", False),
    ("result-mix.worst-window", "worst_window_weight", False),
]


def ticks_from_ms(milliseconds: float) -> int:
    """Convert milliseconds to ticks (0.1 ms), rounded."""
    return round(milliseconds * 10)


def _parse_method(fields: dict) -> interface.Method:
    return interface.Method(
        fields["name"],
        ticks_from_ms(fields["aim"]),
        ticks_from_ms(fields["deadline"]),
        fields["importance"],
        _RETRY_SAFETY[fields["repeat"]],
        fields.get("dedup-scope", "all"),
        ticks_from_ms(fields.get("memory-span", 0.0)),
    )


def _check_usable(settings: dict) -> None:
    """Raise InvalidRequestError for settings that would make every decision round fail."""
    report_interval = settings.get("report_every")
    if not isinstance(report_interval, int):
        raise InvalidRequestError("family-info.report-every is missing", "settings", REMEDY)
    if report_interval <= 0:
        raise InvalidRequestError(
            f"family-info.report-every is {report_interval / 10} ms", "settings", REMEDY
        )
    if not settings["methods"]:
        raise InvalidRequestError("classes is empty: there is no method to serve", "settings", REMEDY)
    for method in settings["methods"]:
        if min(method.soft_deadline, method.deadline) <= 0:
            raise InvalidRequestError(
                f"{method.name}: aim and deadline must be greater than 0", "settings", REMEDY
            )


def parse_settings(params: dict) -> tuple[dict, list[str]]:
    """Return the start settings as a flat dictionary, and the column names of load reports.

    Raises:
        InvalidRequestError: The settings are invalid (also a ValueError).
    """
    settings: dict[str, Any] = {}
    try:
        for path, name, in_ms in _SETTINGS:
            node = params
            for step in path.split("."):
                node = node.get(step) if isinstance(node, dict) else None
            if node is not None:
                settings[name] = ticks_from_ms(node) if in_ms else node
        settings["methods"] = tuple(map(_parse_method, params["classes"]))
        _check_usable(settings)
        return settings, list((params.get("report") or {}).get("columns") or ())
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise InvalidRequestError(f"{type(error).__name__}: {error}", "settings", REMEDY) from None


def parse_load_report(pairs: Iterable[tuple[str, Any]]) -> dict[str, float]:
    """Parse a load report from (name, value) pairs, ignoring unknown names and missing values."""
    return {
        _LOAD_NAMES[name]: ticks_from_ms(value) if _LOAD_NAMES[name] == "service_time" else value
        for name, value in pairs
        if name in _LOAD_NAMES and value is not None
    }
