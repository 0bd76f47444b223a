"""More of the log as golden files hold it: lines about callers, errors as fields, words of enumerations."""

import errno
import os

import orjson

from collector_room import Hall
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
    """The log's lines about one who connects and says this, but for the time and what is told to people."""
    hall = Hall()
    hall.log.output_fd = os.memfd_create("log")
    try:
        hall.call(given.encode("latin-1"))
        for _ in range(8):
            hall.loop.call_after(5, lambda: None)
            hall.loop.turn()
        data = os.pread(hall.log.output_fd, 1 << 20, 0)
    finally:
        os.close(hall.log.output_fd)
        hall.close()
    found = []
    for line in map(orjson.loads, data.splitlines()):
        left_out = {name: "" for name in ("ms", "why", "remedy") if name in line}
        found.append(former_line(orjson.dumps(line | left_out).decode("latin-1")))
    return found


def error(given: dict) -> dict:
    """An error as the fields of a log line, and as the command line tells it."""
    if "errno" in given:
        return {"fields": errors.error_fields(OSError(getattr(errno, given["errno"]), "so"), given["remedy"])}
    found = ERRORS[given["error"]](given["what"], given["where"], given["remedy"])
    return {"fields": errors.error_fields(found, "not used"), "text": str(found)}


def enumeration(given: str) -> list[str]:
    """The words of an enumeration as the log tells them."""
    return [member.value for member in ENUMERATIONS[given]]
