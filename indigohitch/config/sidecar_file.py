"""A sidecar's file.  No I/O but `load`.

    name eros-1
    listen 127.0.0.1:8080
    control /run/indigohitch/eros-1.sock
    rpc place-reserve non-idempotent soft 1.2s deadline 3s criticality 2
    pool nodes slices 64 report 1s probe /health/live
    server n1 127.0.0.1:9001 pool nodes weight 2
    route POST /places/{id}/reserve rpc place-reserve pool nodes key path 1

`read` tells every mistake in the file, each with its line.  docs/sidecar.md lists the words."""

from __future__ import annotations

from .. import interface as face
from ..net.clock import SECOND
from ..net.connection import parse_address
from . import fleet
from .checks import CHECKS
from .further import VOCABULARIES
from .lines import ConfigError, Follows, Reader, Vocabulary
from .routes import Doubled, Route
from .texts import Carried, PoolText, Server, Text
from .words import count, form, name, path, positive, size, socket_path, span, words

# Directives of one value: its reader and its default.  The defaults are chosen for small installations: a
# parent's phone sends heads of under 2 KB; 60 s is what clients keep idle; 10 s carries 16 KB at any speed.
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
REPEATS = {"idempotent": "idempotent", "non-idempotent": "non_idempotent"}


def on_rpc(at: int, rest: list[str], reader: Reader) -> None:
    if len(rest) < 2:
        raise ValueError("rpc NAME idempotent|non-idempotent ...")
    id, repeat = reader.told("rpc", name, rest[0]), rest[1]
    reader.guarded(at, reader.once, at, "rpc", id)
    given = reader.options(at, rest[2:], RPC)
    told = {"soft": SECOND, "deadline": 5 * SECOND, "criticality": 1.0} | given
    if told["soft"] > told["deadline"] and {"soft", "deadline"} & set(rest[2::2]) <= given.keys():
        reader.wrong(at, f"rpc {id}: its soft deadline is over its deadline")
    if repeat not in REPEATS:
        raise ValueError(f"{repeat!r}: idempotent or non-idempotent is wanted")
    carried = reader.found(Carried)
    carried.rpcs[id] = face.Method(
        id, told["soft"], told["deadline"], told["criticality"], REPEATS[repeat], "all", 0
    )
    if "seat" in told:
        carried.seats[id] = (told["seat"], at)


def on_pool(at: int, rest: list[str], reader: Reader) -> None:
    if not rest:
        raise ValueError("pool NAME ...")
    id = reader.told("pool", name, rest[0])
    reader.once(at, "pool", id)
    told = reader.options(at, rest[1:], POOL)
    # A minute of warming up from a fifth, felled at four times that: as the users' servers are.
    boot = {
        "report_every": told.get("report", SECOND),
        "may_probe": "probe" in told,
        "warm_within": told.get("warm", 60 * SECOND),
        "cold_from": told.get("cold-from", 0.2),
        "drain_grace": told.get("grace", SECOND),
        "fall_multiple": told.get("fall", 4.0),
        "admission": "share",
    }
    if boot["cold_from"] > 1:
        reader.wrong(at, "cold-from is a share, 1 at most")
    if "come-back" in told:
        boot["come_back"] = told["come-back"]
    reader.found(Carried).pools[id] = PoolText(
        id, boot, told.get("slices", 64), told.get("probe", ""), told.get("load-header", ""), at
    )


def on_server(at: int, rest: list[str], reader: Reader) -> None:
    if len(rest) < 2:
        raise ValueError("server NAME HOST:PORT pool POOL ...")
    id = reader.guarded(at, reader.told, "server", name, rest[0])
    where = reader.guarded(at, reader.told, "server", parse_address, rest[1])
    told = reader.options(at, rest[2:], SERVER)
    pool = named(reader, "pool", rest[2:], told, reader.found(Carried).pools)
    reader.found(Carried).wanted.add(pool.name)
    if id is None or where is None:
        return
    reader.once(at, f"server of pool {pool.name}", id)
    same = next((s for s in pool.servers.values() if s.address == where), None)
    if same is not None:
        raise ValueError(f"server {same.name} in line {same.line} has the same address")
    pool.servers[id] = Server(
        id, where, told.get("weight", 1.0), told.get("zone", "local"), told.get("kind", "std"), at
    )


def named(reader: Reader, kind: str, rest: list[str], told: dict, known: dict):
    """The pool or the RPC that a line names.  Where its own line has a mistake, that alone is told."""
    if kind not in told:
        raise Follows if kind in rest[::2] else ValueError(f"no {kind} is named")
    if told[kind] in known:
        return known[told[kind]]
    raise Follows if (kind, told[kind]) in reader.lines else ValueError(f"no {kind} {told[kind]}")


def on_route(at: int, rest: list[str], reader: Reader) -> None:
    if len(rest) < 2:
        raise ValueError("route METHOD PATH rpc NAME pool POOL [key path N|header NAME|query NAME]")
    method, pattern, *rest = rest
    key = ("none", "")
    if "key" in rest:
        place = rest.index("key")
        words, rest = rest[place + 1 : place + 3], rest[:place] + rest[place + 3 :]
        key = reader.guarded(at, key_place, words, pattern) or key
    if method != "*" and method not in METHODS:
        reader.wrong(at, f"unknown HTTP method {method!r}")
    told, carried = reader.options(at, rest, ROUTE), reader.found(Carried)
    rpc = reader.guarded(at, named, reader, "rpc", rest, told, carried.rpcs)
    pool = reader.guarded(at, named, reader, "pool", rest, told, carried.pools)
    try:
        carried.routes.add(Route(method, pattern, rpc, pool, key, at))
    except Doubled as bad:
        raise ValueError(f"{method} {pattern}: {bad}") from None


def key_place(words: list[str], pattern: str) -> tuple[str, str]:
    """What stands after `key`."""
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
    """Raises Mistakes."""
    reader = Reader(source, (*VOCABULARIES, VOCABULARY)).read(text)
    carried = reader.found(Carried)
    methods = tuple(carried.rpcs.values())
    for pool in carried.pools.values():
        pool.boot["methods"] = methods
    return Text(
        source,
        reader.picked("directive", SINGLE),
        reader.picked("limit", LIMITS),
        reader.picked("wait", WAITS),
        carried.rpcs,
        carried.pools,
        carried.routes,
        {rpc: feature for rpc, (feature, _) in carried.seats.items()},
        fleet.told(reader),
    )


def load(source: str) -> Text:
    """Raises Mistakes, or OSError for a file that can't be had."""
    return read(text_in(source), source)


def text_in(source: str) -> str:
    """Raises Mistakes for what is no text, OSError."""
    with open(source, "rb") as file:
        raw = file.read()
    try:
        return raw.decode("utf-8-sig")  # some editors put a mark before the text
    except UnicodeDecodeError as bad:
        line = raw[: bad.start].count(b"\n") + 1
        raise ConfigError(source, [(line, "not UTF-8")]) from None
