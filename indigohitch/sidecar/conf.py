"""The operator's file: one directive a line, in the manner of classic daemons.  No I/O but `load`.

    name eros-1
    listen 127.0.0.1:8080
    control /run/indigohitch/eros-1.sock
    rpc place-reserve non-idempotent soft 1.2s deadline 3s criticality 2
    pool nodes slices 64 report 1s probe /health/live
    server n1 127.0.0.1:9001 pool nodes weight 2
    route POST /places/{id}/reserve rpc place-reserve pool nodes key path 1

`read` tells every mistake in the file, each with its line.  docs/sidecar.md lists the words."""
from __future__ import annotations

import re
import shlex
from dataclasses import dataclass, field

from .. import interface as face
from ..net.clock import SECOND
from ..net.connection import address
from .access import FORMS
from .routes import Doubled, Route, Routes

_SPANS = {"ms": SECOND // 1000, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}
_SIZES = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")


class Mistakes(ValueError):
    """All that is wrong with a file: (line, reason) each, in order."""

    def __init__(self, source: str, found: list[tuple[int, str]]) -> None:
        self.source, self.found = source, sorted(found)
        super().__init__("\n".join(f"{source}:{line}: {why}" for line, why in self.found))


def span(text: str) -> int:
    """`1.5s` in tenths of a millisecond."""
    return round(_measured(text, _SPANS, "a span like 250ms, 1.5s or 2m"))


def size(text: str) -> int:
    """`64KB` in bytes."""
    return round(_measured(text, _SIZES, "a size like 16KB or 64MB"))


def _measured(text: str, units: dict[str, int], what: str) -> float:
    match = re.fullmatch(r"(\d+(?:\.\d+)?)([A-Za-z]*)", text)
    if match is None or match[2] not in units:
        missing = match is not None and not match[2]
        raise ValueError(f"{text!r} {'has no unit' if missing else 'is not'}: {what} is wanted")
    return float(match[1]) * units[match[2]]


def number(text: str) -> float:
    if not re.fullmatch(r"\d+(\.\d+)?", text):
        raise ValueError(f"{text!r} is not a number")
    return float(text)


def positive(text: str) -> float:
    if number(text) <= 0:
        raise ValueError(f"{text} is not above 0")
    return number(text)


def count(text: str) -> int:
    if not re.fullmatch(r"[1-9]\d{0,8}", text):
        raise ValueError(f"{text!r} is not a whole number above 0")
    return int(text)


def name(text: str) -> str:
    if not _NAME.match(text):
        raise ValueError(f"{text!r} is no name: letters, digits, dots, - and _, 64 at most")
    return text


def path(text: str) -> str:
    if not text.startswith("/"):
        raise ValueError(f"{text!r} does not begin with /")
    return text


def form(text: str) -> str:
    if text not in FORMS:
        raise ValueError(f"{text!r}: {' or '.join(FORMS)} is wanted")
    return text


def words(text: str) -> list[str]:
    return shlex.split(text)


# Directives of one value: its reader and its default.  The defaults are chosen for small installations: a
# parent's phone sends heads of under 2 KB; 60 s is what clients keep idle; 10 s carries 16 KB at any speed.
SINGLE = {
    "name": (name, "sidecar"), "listen": (address, None), "control": (path, ""), "state": (path, ""),
    "pidfile": (path, ""), "seed": (count, 1), "zone": (name, "local"), "program": (words, []),
    "access-log": (path, ""), "access-log-form": (form, "json"),
}
LIMITS = {"clients": (count, 2000), "head": (size, 16 << 10), "body": (size, 16 << 30),
          "memory": (size, 64 << 20), "idle-upstream": (count, 64)}
WAITS = {"idle": (span, 60 * SECOND), "head": (span, 10 * SECOND), "stream": (span, 60 * SECOND),
         "upstream": (span, 4 * SECOND), "connect": (span, SECOND // 4), "drain": (span, 30 * SECOND),
         "start": (span, 10 * SECOND), "takeover": (span, 10 * SECOND), "commit": (span, 2 * SECOND),
         "watch": (span, SECOND)}
RPC = {"soft": span, "deadline": span, "criticality": positive}
POOL = {"slices": count, "report": span, "probe": path, "load-header": name, "come-back": span,
        "warm": span, "cold-from": positive, "grace": span, "fall": positive}
SERVER = {"pool": name, "weight": positive, "zone": name, "kind": name}
REPEATS = {"idempotent": "idempotent", "non-idempotent": "non_idempotent"}


@dataclass(slots=True)
class Server:
    name: str
    address: tuple[str, int]
    weight: float
    zone: str
    kind: str
    line: int


@dataclass(slots=True)
class PoolText:
    """A pool as the file has it; `boot` is the module's plain map."""
    name: str
    boot: dict
    slices: int
    probe: str
    load_header: str
    line: int
    servers: dict[str, Server] = field(default_factory=dict)


@dataclass(slots=True)
class Text:
    """What a file says."""
    source: str
    single: dict
    limits: dict
    waits: dict
    rpcs: dict[str, face.Method]
    pools: dict[str, PoolText]
    routes: Routes


class Reader:
    def __init__(self, source: str) -> None:
        self.source = source
        self.mistakes: list[tuple[int, str]] = []
        self.single, self.limits, self.waits = {}, {}, {}
        self.lines: dict[tuple[str, str], int] = {}     # where a name was given first
        self.rpcs: dict[str, face.Method] = {}
        self.pools: dict[str, PoolText] = {}
        self.later: list[tuple[int, str, list[str]]] = []   # what names rpcs and pools is read last
        self.routes = Routes()

    def read(self, text: str) -> Text:
        for at, line in enumerate(text.splitlines(), 1):
            self.guarded(at, self.directive, at, line)
        methods = tuple(self.rpcs.values())
        for pool in self.pools.values():
            pool.boot["methods"] = methods
        for at, word, rest in self.later:
            self.guarded(at, getattr(self, f"on_{word}"), at, rest)
        for given, known in ((self.single, SINGLE), (self.limits, LIMITS), (self.waits, WAITS)):
            for key, (_, default) in known.items():
                given.setdefault(key, default)
        end = text.count("\n") + 1
        if self.single["listen"] is None and not any("listen" in why for _, why in self.mistakes):
            self.mistakes.append((end, "no line says where to listen"))
        for pool in self.pools.values():
            if not pool.servers:
                self.mistakes.append((pool.line, f"pool {pool.name} has no server"))
        if not self.routes.all and not self.mistakes:
            self.mistakes.append((end, "no route: nothing would be served"))
        if self.mistakes:
            raise Mistakes(self.source, self.mistakes)
        return Text(self.source, self.single, self.limits, self.waits, self.rpcs, self.pools, self.routes)

    def guarded(self, at: int, action, *args) -> None:
        try:
            action(*args)
        except ValueError as bad:
            self.mistakes.append((at, str(bad)))

    def directive(self, at: int, line: str) -> None:
        try:
            parts = shlex.split(line, comments=True)
        except ValueError as bad:
            raise ValueError(f"can't be read: {bad}") from None
        if not parts:
            return
        word, *rest = parts
        if word in SINGLE:
            self.once(at, "directive", word)
            self.single[word] = self.value(word, rest, SINGLE[word][0])
        elif word in ("limit", "wait"):
            known, given = (LIMITS, self.limits) if word == "limit" else (WAITS, self.waits)
            if not rest or rest[0] not in known:
                raise ValueError(f"no such {word}: {' '.join(rest[:1]) or 'nothing'}; there are "
                                 f"{', '.join(sorted(known))}")
            self.once(at, word, rest[0])
            given[rest[0]] = self.value(f"{word} {rest[0]}", rest[1:], known[rest[0]][0])
        elif word in ("rpc", "pool"):
            getattr(self, f"on_{word}")(at, rest)
        elif word in ("server", "route"):
            self.later.append((at, word, rest))
        else:
            raise ValueError(f"unknown word {word!r}")

    def once(self, at: int, kind: str, key: str) -> None:
        first = self.lines.setdefault((kind, key), at)
        if first != at:
            raise ValueError(f"{kind} {key} stands already in line {first}")

    @staticmethod
    def value(what: str, rest: list[str], read):
        if read is words:
            return rest
        if len(rest) != 1:
            raise ValueError(f"{what} takes one value, {len(rest)} stand here")
        return Reader.told(what, read, rest[0])

    @staticmethod
    def told(what: str, read, text: str):
        try:
            return read(text)
        except ValueError as bad:
            raise ValueError(f"{what}: {bad}") from None

    def options(self, rest: list[str], known: dict) -> dict:
        found = {}
        for key, text in zip(rest[::2], [*rest[1::2], None]):
            if key not in known:
                raise ValueError(f"unknown word {key!r}; there are {', '.join(known)}")
            if key in found:
                raise ValueError(f"{key} stands twice")
            if text is None:
                raise ValueError(f"{key} has no value")
            found[key] = self.told(key, known[key], text)
        return found

    def on_rpc(self, at: int, rest: list[str]) -> None:
        if len(rest) < 2:
            raise ValueError("rpc NAME idempotent|non-idempotent ...")
        id, repeat = self.told("rpc", name, rest[0]), rest[1]
        self.once(at, "rpc", id)
        if repeat not in REPEATS:
            raise ValueError(f"{repeat!r}: idempotent or non-idempotent is wanted")
        told = {"soft": SECOND, "deadline": 5 * SECOND, "criticality": 1.0} | self.options(rest[2:], RPC)
        self.rpcs[id] = face.Method(id, told["soft"], told["deadline"], told["criticality"],
                                    REPEATS[repeat], "all", 0)
        if told["soft"] > told["deadline"]:
            raise ValueError(f"rpc {id}: its soft deadline is over its deadline")

    def on_pool(self, at: int, rest: list[str]) -> None:
        if not rest:
            raise ValueError("pool NAME ...")
        id = self.told("pool", name, rest[0])
        self.once(at, "pool", id)
        told = self.options(rest[1:], POOL)
        # A minute of warming up from a fifth, felled at four times that: as the users' servers are.
        boot = {"report_every": told.get("report", SECOND), "may_probe": "probe" in told,
                "warm_within": told.get("warm", 60 * SECOND), "cold_from": told.get("cold-from", 0.2),
                "drain_grace": told.get("grace", SECOND), "fall_multiple": told.get("fall", 4.0),
                "admission": "share"}
        if boot["cold_from"] > 1:
            raise ValueError("cold-from is a share, 1 at most")
        if "come-back" in told:
            boot["come_back"] = told["come-back"]
        self.pools[id] = PoolText(id, boot, told.get("slices", 64), told.get("probe", ""),
                                  told.get("load-header", ""), at)

    def on_server(self, at: int, rest: list[str]) -> None:
        if len(rest) < 2:
            raise ValueError("server NAME HOST:PORT pool POOL ...")
        id, where = self.told("server", name, rest[0]), self.told("server", address, rest[1])
        told = self.options(rest[2:], SERVER)
        pool = self.pool(told)
        self.once(at, f"server of pool {pool.name}", id)
        same = next((s for s in pool.servers.values() if s.address == where), None)
        if same is not None:
            raise ValueError(f"server {same.name} in line {same.line} has the same address")
        pool.servers[id] = Server(id, where, told.get("weight", 1.0), told.get("zone", "local"),
                                  told.get("kind", "std"), at)

    def pool(self, told: dict) -> PoolText:
        if told.get("pool") not in self.pools:
            raise ValueError(f"no pool {told['pool']}" if "pool" in told else "no pool is named")
        return self.pools[told["pool"]]

    def on_route(self, at: int, rest: list[str]) -> None:
        if len(rest) < 2:
            raise ValueError("route METHOD PATH rpc NAME pool POOL [key path N|header NAME|query NAME]")
        method, pattern, *rest = rest
        key = ("none", "")
        if "key" in rest:
            place = rest.index("key")
            key, rest = tuple(rest[place + 1:place + 3]), rest[:place] + rest[place + 3:]
            if len(key) != 2 or key[0] not in ("path", "header", "query"):
                raise ValueError("key path N, key header NAME or key query NAME is wanted")
            if key[0] == "path":
                if not key[1].isdigit():
                    raise ValueError(f"key path {key[1]}: the place of a segment is wanted, from 0")
                if int(key[1]) >= len(pattern.strip("/").split("/")) and not pattern.endswith("**"):
                    raise ValueError(f"key path {key[1]}: the path has no such segment")
            key = (key[0], key[1].lower() if key[0] == "header" else key[1])
        told = self.options(rest, {"rpc": name, "pool": name})
        if method != "*" and method not in ("GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"):
            raise ValueError(f"unknown HTTP method {method!r}")
        if told.get("rpc") not in self.rpcs:
            raise ValueError(f"no rpc {told['rpc']}" if "rpc" in told else "no rpc is named")
        try:
            self.routes.add(Route(method, pattern, self.rpcs[told["rpc"]], self.pool(told), key, at))
        except Doubled as bad:
            raise ValueError(f"{method} {pattern}: {bad}") from None


def read(text: str, source: str = "-") -> Text:
    """Raises Mistakes."""
    return Reader(source).read(text)


def load(source: str) -> Text:
    """Raises Mistakes, or OSError for a file that can't be had."""
    with open(source, "rb") as file:
        raw = file.read()
    try:
        return read(raw.decode(), source)
    except UnicodeDecodeError as bad:
        line = raw[:bad.start].count(b"\n") + 1
        raise Mistakes(source, [(line, "not UTF-8")]) from None


# What a coordinator's operator may say; all else the platform tells it.
OPERATOR = ("control", "state", "pidfile", "program")


def load_operator(source: str) -> Text:
    """The operator's file of a coordinator: `control`, `state`, `pidfile`, `program` and `wait drain|start`.
    Raises Mistakes, OSError."""
    with open(source, encoding="utf-8") as file:
        lines = file.read().splitlines()
    reader = Reader(source)
    for at, line in enumerate(lines, 1):
        word = line.split("#")[0].split()[:1]
        if word and word[0] not in (*OPERATOR, "wait"):
            reader.mistakes.append((at, f"{word[0]!r} is not for a coordinator; there are "
                                        f"{', '.join(OPERATOR)}, wait"))
        else:
            reader.guarded(at, reader.directive, at, line)
    for given, known in ((reader.single, SINGLE), (reader.waits, WAITS)):
        for key, (_, default) in known.items():
            given.setdefault(key, default)
    if reader.mistakes:
        raise Mistakes(source, reader.mistakes)
    return Text(source, reader.single, {}, reader.waits, {}, {}, Routes())
