"""Produces log lines about connections, error fields and enumeration values for golden files."""

import errno
import os

import orjson

from inbound_harness import InboundHarness
from indigohitch import errors, service
from indigohitch.platform_protocol import messages
from indigohitch.platform_protocol.invariants import Invariant
from indigohitch.platform_protocol.list_versions import ListVerdict
from log_names import former_line

ENUMERATIONS = {"service phases": service.Phase, "verdicts": ListVerdict, "invariants": Invariant}
ERRORS = {
    "unreadable": errors.InvalidDataError,
    "unfit": errors.InvalidRequestError,
    "not now": errors.UnavailableError,
    "line unreadable": messages.InvalidLineError,
    "line garbled": messages.CorruptConnectionError,
}


def callers(given: str) -> list[str]:
    """Return the log lines about a client that sends `given`, without time, reason and remedy."""
    harness = InboundHarness()
    harness.log.output_fd = os.memfd_create("log")
    try:
        harness.connect(given.encode("latin-1"))
        for _ in range(8):
            harness.loop.call_after(5, lambda: None)
            harness.loop.turn()
        data = os.pread(harness.log.output_fd, 1 << 20, 0)
    finally:
        os.close(harness.log.output_fd)
        harness.close()
    found = []
    for line in map(orjson.loads, data.splitlines()):
        blanked = {name: "" for name in ("ms", "why", "remedy") if name in line}
        found.append(former_line(orjson.dumps(line | blanked).decode("latin-1")))
    return found


def error(given: dict) -> dict:
    """Return an error as fields of a log line, and as the text on the command line."""
    if "errno" in given:
        return {"fields": errors.error_fields(OSError(getattr(errno, given["errno"]), "so"), given["remedy"])}
    found = ERRORS[given["error"]](given["what"], given["where"], given["remedy"])
    return {"fields": errors.error_fields(found, "not used"), "text": str(found)}


def enumeration(given: str) -> list[str]:
    """Return the values of an enumeration as the log contains them."""
    return [member.value for member in ENUMERATIONS[given]]
