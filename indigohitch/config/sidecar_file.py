"""Reads a sidecar's file.

    name eros-1
    listen 127.0.0.1:8080
    control /run/indigohitch/eros-1.sock
    rpc place-reserve non-idempotent soft 1.2s deadline 3s criticality 2
    pool nodes slices 64 report 1s probe /health/live
    server n1 127.0.0.1:9001 pool nodes weight 2
    route POST /places/{id}/reserve rpc place-reserve pool nodes key path 1

`read` reports every mistake of the file with its line number.  docs/sidecar.md lists the words.
Only `load` and `text_in` do I/O.
"""

from __future__ import annotations

from .. import interface as face
from ..net.clock import SECOND
from ..net.connection import parse_address
from . import fleet
from .checks import CHECKS
from .further import VOCABULARIES
from .lines import ConfigError, DependentLineError, Reader, Vocabulary
from .routes import DuplicateRouteError, Route
from .texts import PoolText, Server, SidecarText, Text
from .words import count, form, name, path, positive, size, socket_path, span, words

# Directives of one value: their parsers and defaults.  The defaults suit small installations: phones send
# heads of under 2 KB, clients keep idle connections for 60 s, and 10 s are enough for 16 KB at any speed.
SINGLE = {
    "name": (name, "sidecar"),
    "listen": (parse_address, None),
    "control": (socket_path, ""),
    "state": (path, ""),
    "pidfile": (path, ""),
    "seed": (count, 1),
    "zone": (name, "local"),
    "program": (words, []),
    "access-log": (path, ""),
    "access-log-form": (form, "json"),
}
LIMITS = {
    "clients": (count, 2000),
    "head": (size, 16 << 10),
    "body": (size, 16 << 30),
    "memory": (size, 64 << 20),
    "idle-upstream": (count, 64),
}
WAITS = {
    "idle": (span, 60 * SECOND),
    "head": (span, 10 * SECOND),
    "stream": (span, 60 * SECOND),
    "upstream": (span, 4 * SECOND),
    "connect": (span, SECOND // 4),
    "drain": (span, 30 * SECOND),
    "start": (span, 10 * SECOND),
    "takeover": (span, 10 * SECOND),
    "commit": (span, 2 * SECOND),
    "watch": (span, SECOND),
}
RPC = {"soft": span, "deadline": span, "criticality": positive, "seat": name}
POOL = {
    "slices": count,
    "report": span,
    "probe": path,
    "load-header": name,
    "come-back": span,
    "warm": span,
    "cold-from": positive,
    "grace": span,
    "fall": positive,
}
SERVER = {"pool": name, "weight": positive, "zone": name, "kind": name}
ROUTE = {"rpc": name, "pool": name}
METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH")
REPEAT_VALUES = {"idempotent": "idempotent", "non-idempotent": "non_idempotent"}


def on_rpc(line: int, rest: list[str], reader: Reader) -> None:
    """Declares an RPC; options that are missing or faulty get defaults."""
    if len(rest) < 2:
        raise ValueError("rpc NAME idempotent|non-idempotent ...")
    id = reader.parse("rpc", name, rest[0])
    repeat = rest[1]
    reader.report_errors(line, reader.declare, line, "rpc", id)
    given = reader.options(line, rest[2:], RPC)
    options = {"soft": SECOND, "deadline": 5 * SECOND, "criticality": 1.0} | given
    if options["soft"] > options["deadline"] and {"soft", "deadline"} & set(rest[2::2]) <= given.keys():
        reader.report(line, f"rpc {id}: its soft deadline is over its deadline")
    if repeat not in REPEAT_VALUES:
        raise ValueError(f"{repeat!r}: idempotent or non-idempotent is wanted")
    sidecar = reader.collected(SidecarText)
    sidecar.rpcs[id] = face.Method(
        id, options["soft"], options["deadline"], options["criticality"], REPEAT_VALUES[repeat], "all", 0
    )
    if "seat" in options:
        sidecar.seats[id] = (options["seat"], line)


def on_pool(line: int, rest: list[str], reader: Reader) -> None:
    """Declares a pool and the settings with which its module starts."""
    if not rest:
        raise ValueError("pool NAME ...")
    id = reader.parse("pool", name, rest[0])
    reader.declare(line, "pool", id)
    options = reader.options(line, rest[1:], POOL)
    # As the users' servers behave: a minute of warm-up from a fifth, overload at 4 times the usual load.
    boot = {
        "report_every": options.get("report", SECOND),
        "may_probe": "probe" in options,
        "warm_within": options.get("warm", 60 * SECOND),
        "cold_from": options.get("cold-from", 0.2),
        "drain_grace": options.get("grace", SECOND),
        "fall_multiple": options.get("fall", 4.0),
        "admission": "share",
    }
    if boot["cold_from"] > 1:
        reader.report(line, "cold-from is a share, 1 at most")
    if "come-back" in options:
        boot["come_back"] = options["come-back"]
    reader.collected(SidecarText).pools[id] = PoolText(
        id, boot, options.get("slices", 64), options.get("probe", ""), options.get("load-header", ""), line
    )


def on_server(line: int, rest: list[str], reader: Reader) -> None:
    """Adds a server to its pool; name and address are unique within the pool."""
    if len(rest) < 2:
        raise ValueError("server NAME HOST:PORT pool POOL ...")
    id = reader.report_errors(line, reader.parse, "server", name, rest[0])
    where = reader.report_errors(line, reader.parse, "server", parse_address, rest[1])
    options = reader.options(line, rest[2:], SERVER)
    pool = named(reader, "pool", rest[2:], options, reader.collected(SidecarText).pools)
    reader.collected(SidecarText).named_pools.add(pool.name)
    if id is None or where is None:
        return
    reader.declare(line, f"server of pool {pool.name}", id)
    duplicate = next((s for s in pool.servers.values() if s.address == where), None)
    if duplicate is not None:
        raise ValueError(f"server {duplicate.name} in line {duplicate.line} has the same address")
    pool.servers[id] = Server(
        id, where, options.get("weight", 1.0), options.get("zone", "local"), options.get("kind", "std"), line
    )


def named(reader: Reader, kind: str, rest: list[str], options: dict, known: dict) -> object:
    """Returns the pool or the RPC that a line names.

    Raises:
        DependentLineError: The line that declares it has a mistake, which alone is reported.
        ValueError: The line names none, or one that no line declares.
    """
    if kind not in options:
        raise DependentLineError if kind in rest[::2] else ValueError(f"no {kind} is named")
    if options[kind] in known:
        return known[options[kind]]
    raise (
        DependentLineError
        if (kind, options[kind]) in reader.first_lines
        else ValueError(f"no {kind} {options[kind]}")
    )


def on_route(line: int, rest: list[str], reader: Reader) -> None:
    """Adds a route to the table and reports the mistakes of its options."""
    if len(rest) < 2:
        raise ValueError("route METHOD PATH rpc NAME pool POOL [key path N|header NAME|query NAME]")
    method, pattern, *rest = rest
    key = ("none", "")
    if "key" in rest:
        place = rest.index("key")
        words, rest = rest[place + 1 : place + 3], rest[:place] + rest[place + 3 :]
        key = reader.report_errors(line, key_place, words, pattern) or key
    if method != "*" and method not in METHODS:
        reader.report(line, f"unknown HTTP method {method!r}")
    options, sidecar = reader.options(line, rest, ROUTE), reader.collected(SidecarText)
    rpc = reader.report_errors(line, named, reader, "rpc", rest, options, sidecar.rpcs)
    pool = reader.report_errors(line, named, reader, "pool", rest, options, sidecar.pools)
    try:
        sidecar.routes.add(Route(method, pattern, rpc, pool, key, line))
    except DuplicateRouteError as error:
        raise ValueError(f"{method} {pattern}: {error}") from None


def key_place(words: list[str], pattern: str) -> tuple[str, str]:
    """Parses the words after `key` to a kind and the index or name that it refers to."""
    if len(words) != 2 or words[0] not in ("path", "header", "query"):
        raise ValueError("key path N, key header NAME or key query NAME is wanted")
    kind, where = words
    if kind == "path":
        if not where.isdigit():
            raise ValueError(f"key path {where}: the place of a segment is wanted, from 0")
        if int(where) >= len(pattern.strip("/").split("/")) and not pattern.endswith("**"):
            raise ValueError(f"key path {where}: the path has no such segment")
    return kind, where.lower() if kind == "header" else where


VOCABULARY = Vocabulary(
    {"rpc": on_rpc, "pool": on_pool}, {"server": on_server, "route": on_route}, CHECKS, SINGLE, WAITS, LIMITS
)


def read(text: str, source: str = "-") -> Text:
    """Parses the text of a sidecar's file; `source` is its name in messages.

    Raises:
        ConfigError: The text has mistakes.
    """
    reader = Reader(source, (*VOCABULARIES, VOCABULARY)).read(text)
    sidecar = reader.collected(SidecarText)
    methods = tuple(sidecar.rpcs.values())
    for pool in sidecar.pools.values():
        pool.boot["methods"] = methods
    return Text(
        source,
        reader.values_of("directive", SINGLE),
        reader.values_of("limit", LIMITS),
        reader.values_of("wait", WAITS),
        sidecar.rpcs,
        sidecar.pools,
        sidecar.routes,
        {rpc: feature for rpc, (feature, _) in sidecar.seats.items()},
        fleet.fleet_of(reader),
    )


def load(source: str) -> Text:
    """Reads and parses the file at the path `source`.

    Raises:
        ConfigError: The file has mistakes.
        OSError: The file can't be read.
    """
    return read(text_in(source), source)


def text_in(source: str) -> str:
    """Returns the text of a file without its byte order mark.

    Raises:
        ConfigError: The file is not UTF-8.
        OSError: The file can't be read.
    """
    with open(source, "rb") as file:
        raw = file.read()
    try:
        return raw.decode("utf-8-sig")  # some editors write a byte order mark
    except UnicodeDecodeError as error:
        line = raw[: error.start].count(b"\n") + 1
        raise ConfigError(source, [(line, "not UTF-8")]) from None
