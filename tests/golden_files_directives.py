"""Generates configuration files of every kind, and the values that they parse to."""

from __future__ import annotations

from golden_files import as_json
from indigohitch.config import sidecar_file
from indigohitch.config.batches import CLASS, SITE, BatchesText
from indigohitch.config.either import is_operators
from indigohitch.config.fleet import FleetText
from indigohitch.config.further import VOCABULARIES
from indigohitch.config.lines import Reader, Vocabulary
from indigohitch.config.operator_file import OPERATOR, OperatorReader
from indigohitch.config.operator_file import read as read_operators
from indigohitch.config.seats import OPTIONS, SeatsText
from indigohitch.config.sidecar_file import POOL, ROUTE, RPC, SERVER, SINGLE, VOCABULARY, WAITS
from indigohitch.config.texts import PoolText, Text
from indigohitch.interface import Method

KINDS = (
    "sidecar",
    "sidecar-member",
    "coordinator",
    "member",
    "seats",
    "batches",
    "distributor",
    "subscriber",
)
SIDECAR_LINES = """listen 127.0.0.1:8080
rpc search idempotent
rpc place-reserve non-idempotent soft 1.2s deadline 3s criticality 2{seat}
pool nodes slices 64 report 1s probe /health/live load-header X-Load come-back 2s warm 2m cold-from 0.5 \
grace 3s fall 5
pool rest
server n1 127.0.0.1:9001 pool nodes weight 2 zone east kind big
server n2 127.0.0.1:9002 pool nodes
server r1 10.0.0.1:80 pool rest
route POST /places/{{id}}/reserve rpc place-reserve pool nodes key path 1
route GET /vacancies/** rpc search pool nodes key header X-Block
route GET /find rpc search pool rest key query q
route * /other rpc search pool rest
"""
FLEET_LINES = """fleet whk
member n1 10.0.0.1:7400 votes
member n2 10.0.0.2:7400 votes
member eros-1 10.0.1.1:7400 follows
ledger /var/lib/indigohitch/{me}
drift 0.002
edition 3
wait lease 3s
wait election 400ms
wait beat 60ms
limit ledger 1MB
"""
SEATS_LINES = """seats geocoder 40 kind job from 2026-01-01 to 2026-12-31 drain 10s keep urgent=4,schools=2
seats reader 6 kind user linger 2s to 2026-12-31T18:00
seats map 5 kind node
seat-tenant X-Tenant
seat-user X-User
"""
BATCHES_LINES = """batch-slot 30m
site eros zone Europe/Berlin holidays DE-BE
lanes eros std 8
lanes eros big 2
band eros workday,holiday 06:00-22:00 24.5
band eros any 00:00-24:00 -1.125
peak eros 40kW surcharge 12
site venus zone UTC
lanes venus std 1
batch-class dunning non-idempotent path /dunning/{piece}/{step} power std=300W,big=1.5kW pause 0.4 \
seats geocoder=1 sites eros,venus
batch-class letters idempotent path /letters power std=100W
prices /var/lib/indigohitch/prices.txt
runs eros std 4 to 127.0.0.1:8080
runs eros big 1 to 127.0.0.1:8080
"""


def text_of(kind: str) -> str:
    """Returns a file of this kind; all kinds together use every word."""
    me = FLEET_LINES.format(me="n1")
    return {
        "sidecar": "name eros-1\ncontrol /run/c.sock\nstate /var/s\npidfile /run/p\nseed 7\nzone east\n"
        "program /usr/bin/indigohitch sidecar 'a b'  # a comment\naccess-log /var/log/a\n"
        "access-log-form combined\nlimit clients 10\nlimit head 8KB\nlimit body 1MB\nlimit memory 1.5MB\n"
        "limit idle-upstream 3\nwait idle 1s\nwait head 2s\nwait stream 3s\nwait upstream 4s\n"
        "wait connect 5ms\nwait drain 6s\nwait start 7s\nwait takeover 8s\nwait commit 9s\nwait watch 1.5s\n"
        + SIDECAR_LINES.format(seat=""),
        "sidecar-member": "name eros-1\n"
        + SIDECAR_LINES.format(seat=" seat geocoder")
        + FLEET_LINES.format(me="eros-1")
        + SEATS_LINES,
        "coordinator": "name c1\ncontrol /run/c.sock\nstate /var/s\npidfile /run/p\n"
        "program /usr/bin/indigohitch coordinator\nwait drain 2s\nwait start 3s\n",
        "member": "name n1\n" + me,
        "seats": "name n1\n" + me + SEATS_LINES,
        "batches": "name n1\n" + me + SEATS_LINES + BATCHES_LINES,
        "distributor": "name n1\n" + me + "distributor n1 10.0.0.1:7500\ndistributor n2 10.0.0.2:7500\n",
        "subscriber": "name c17\nfleet whk\ndistributor d1 10.0.0.1:7500\nsubscribe vacancies maps\n"
        "subscribe search\n",
    }[kind]


def method(one: Method) -> dict:
    return {
        "name": one.name,
        "soft_deadline": one.soft_deadline,
        "deadline": one.deadline,
        "criticality": one.criticality,
        "repeat": one.repeat,
        "dedup_scope": one.dedup_scope,
        "memory_span": one.memory_span,
    }


def pool(one: PoolText) -> dict:
    servers = [
        {
            "name": s.name,
            "address": s.address,
            "weight": s.weight,
            "zone": s.zone,
            "kind": s.kind,
            "line": s.line,
        }
        for s in one.servers.values()
    ]
    return {
        "name": one.name,
        "boot": one.boot | {"methods": [method(m) for m in one.boot["methods"]]},
        "slices": one.slices,
        "probe": one.probe,
        "load_header": one.load_header,
        "line": one.line,
        "servers": servers,
    }


def seats(one: SeatsText) -> dict:
    return {
        "feature": one.feature,
        "seats": one.seats,
        "kind": one.kind,
        "since": one.since,
        "until": one.until,
        "linger": one.linger,
        "drain": one.drain,
        "keep": one.keep,
        "line": one.line,
        "tenant_header": one.tenant_header,
        "user_header": one.user_header,
    }


def batches(one: BatchesText) -> dict:
    return {
        "sites": {
            name: {
                "name": s.name,
                "zone": s.zone,
                "holidays": s.holidays,
                "lanes": s.lanes,
                "bands": [[b.days, b.begin, b.end, b.price, b.line] for b in s.bands],
                "peak": s.peak,
                "surcharge": s.surcharge,
                "line": s.line,
            }
            for name, s in one.sites.items()
        },
        "classes": {
            name: [c.name, c.idempotent, c.path, c.power, c.pause, c.seats, c.sites, c.line]
            for name, c in one.classes.items()
        },
        "runs": [[r.site, r.kind, r.lanes, r.to, r.line] for r in one.runs],
        "slot": one.slot,
        "prices": one.prices,
        "line": one.line,
    }


PARTS = {"seats": seats, "batches": batches}


def fleet(one: FleetText | None) -> dict | None:
    if one is None:
        return None
    return {
        "name": one.name,
        "me": one.me,
        "members": {name: [m.name, m.address, m.votes, m.line] for name, m in one.members.items()},
        "folder": one.folder,
        "waits": one.waits,
        "drift": one.drift,
        "edition": one.edition,
        "limit": one.limit,
        "parts": {name: [PARTS[name](row) for row in rows] for name, rows in one.parts.items()},
        "line": one.line,
        "distributors": {name: [d.name, d.address, d.line] for name, d in one.distributors.items()},
        "services": one.services,
    }


def values(text: Text) -> dict:
    return {
        "single": text.single,
        "limits": text.limits,
        "waits": text.waits,
        "rpcs": {name: method(one) for name, one in text.rpcs.items()},
        "pools": {name: pool(one) for name, one in text.pools.items()},
        "routes": [[r.method, r.pattern, r.rpc.name, r.pool.name, r.key, r.line] for r in text.routes.all],
        "seats": text.seats,
        "fleet": fleet(text.fleet),
    }


def read_as(text: str) -> bytes:
    reads = read_operators if is_operators(text) else sidecar_file.read
    return as_json({"operators": is_operators(text)} | values(reads(text)))


OPTIONS_OF = dict(zip(("rpc", "pool", "server", "route"), (RPC, POOL, SERVER, ROUTE)))
OPTIONS_OF |= {"seats": OPTIONS, "site": SITE, "batch-class": CLASS}


def vocabulary(reader: Reader) -> dict:
    return {
        "words": reader.all_words(),
        **{
            kind: {word: default for word, (_, default) in reader.known[kind].items()}
            for kind in reader.known
        },
    }


def words() -> bytes:
    """Returns all words of both kinds of file with their defaults, and the options of directives."""
    own = Vocabulary(single={key: SINGLE[key] for key in OPERATOR}, waits=WAITS)
    return as_json(
        {
            "sidecar": vocabulary(Reader("", (*VOCABULARIES, VOCABULARY))),
            "operators": vocabulary(OperatorReader("", (*VOCABULARIES, own))),
            "options": {name: list(known) for name, known in OPTIONS_OF.items()},
        }
    )


def made() -> dict[str, bytes]:
    found = {f"{kind}.conf": text_of(kind).encode() for kind in KINDS}
    return found | {f"{kind}.json": read_as(text_of(kind)) for kind in KINDS} | {"words.json": words()}
