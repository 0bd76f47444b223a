"""What write.py asks of the platform's wires."""

import json

from given import ORDERS

TRAFFIC = "upstream_stats site=east target=b1 count=212 fail=3 mean=41.77 over=1000.0"
DEMAND = "range_stats range=88 lane=search count=40 fail=1 over=1000.04"
JOIN = "telemetry site=east\r\n"
COLLECTORS = [
    "hb\r\n",
    "hb\n\r\nhb now=1\r\n",
    "GET / HTTP/1.1\r\n",
    f"{DEMAND}\r\n",
    "telemetry site=north\r\n",
    "telemetry\r\n",
    "\u00ff=1\r\n",
    f"{JOIN}hb\r\n",
    f"{JOIN}{TRAFFIC}\r\n{DEMAND}\r\n",
    f"{JOIN}{TRAFFIC} util=inflight:7,util:0.61,new:3\r\n",
    f"{JOIN}{TRAFFIC} util=queue:2,latency_ms:41.57,qps:20.5,eps:1 later=1\n",
    f"{JOIN}{TRAFFIC} util=queue:x\r\n{DEMAND}\r\n",
    f"{JOIN}upstream_stats site=east target=b2 count=2 fail=0 mean=4 over=1\r\n",
    f"{JOIN}upstream_stats site=east target=b1 count=2 fail=3 mean=4 over=1\r\n",
    f"{JOIN}range_stats range=99 lane=search count=2 fail=0 over=1\r\n",
    f"{JOIN}range_stats range=9 lane=reserve count=2 fail=0 over=1\r\n",
    f"{JOIN}another_stats range=9\r\n",
    f"{JOIN}a=1 b\r\n",
]


def _said(kind: str, data: str) -> str:
    return f"event: {kind}\ndata: {data}\n\n"


EACH = {
    "attach": "id=17&site=east&rps=21.5&new=1",
    "detach": "id=17",
    "done": "id=17&seq=905&ms=310.46",
    "owner": "range=88&flag=1",
    "entry": "range=88&target=b1&rps=2.5",
}
STREAMS = [
    *(_said(kind, data) for kind, data in EACH.items()),
    "".join(_said(kind, data) for kind, data in EACH.items()),
    _said("attach", "id=18&site=a%20b&rps=0&new=0&later=1"),
    _said("owner", "range=88&flag=0"),
    ": sign of life\n\n:\r\n\r\nid: 3\r\nretry: 5\r\nevent:detach\r\ndata:id=4\r\n\r\n",
    _said("later", "a=1"),
    "data: a\ndata: b\n\n",
    *(_said(kind, "other=1") for kind in EACH),
    _said("owner", "range=88&flag=2"),
    "no field of a stream\n",
]

CALLS = [[one] for one in ORDERS] + [ORDERS]


def _counted(count: str) -> str:
    return f'<?xml version="1.0"?><R><results><item><ok_count>{count}</ok_count></item></results></R>'


def _error(code: str) -> str:
    return f"<Response><Error><Code>{code}</Code><Message>m</Message></Error></Response>"


ANSWERS = [
    {"outcome": outcome, "status": status, "body": body}
    for outcome, status, body in (
        ("answered", 200, _counted("2")),
        ("answered", 200, _counted(" 0\n")),
        ("answered", 200, _counted("-1")),
        ("answered", 500, _counted("2")),
        ("answered", 400, _error("Throttling")),
        ("answered", 400, _error(" ValidationError\n")),
        ("answered", 200, _error("ServiceUnavailable")),
        ("answered", 200, "<R"),
        ("answered", 200, "<!DOCTYPE x>" + _counted("2")),
        ("reset", 0, ""),
        ("timeout", 200, _counted("2")),
    )
]

ENTRY = {
    "instanceId": "b1",
    "hostPort": "127.0.0.1:7004",
    "zone": "east",
    "machineType": "std",
    "cell": 3,
    "lifecycle": "SERVING",
    "weight": 6,
    "startedAtMs": 1796137077499.57,
}


def _list(*entries: dict, generation: int = 42, reset: bool = False) -> str:
    return json.dumps({"generation": generation, "reset": reset, "instances": entries})


STATES = [
    ENTRY | {"instanceId": f"s{n}", "lifecycle": s} for n, s in enumerate(("SERVING", "DRAINING", "DELETED"))
]
LISTS = [
    {"body": body, "remembered": remembered}
    for body, remembered in (
        (_list(*STATES), False),
        (_list(*STATES, reset=True), False),
        (_list(ENTRY, reset=True), True),
        (_list(ENTRY, ENTRY | {"weight": 2.5, "later": 1}), False),
        (_list(), False),
        (_list(ENTRY | {"lifecycle": "RESTING"}), False),
        *((_list({k: v for k, v in ENTRY.items() if k != gone}), False) for gone in ENTRY),
        ('{"generation": 42, "instances": []}', False),
        ('{"reset": true, "instances": []}', False),
        ("[]", False),
    )
]

REPORT = '{"queue": 2, "svc_ms": 41.57, "util": 0.5, "later": 1}'
PROBES = [
    {"reports": reports, "at": at, "outcome": outcome, "status": status, "body": body, "duration": 45}
    for reports, at, outcome, status, body in (
        (False, "127.0.0.1:7004", "answered", 200, ""),
        (False, "127.0.0.1:7004", "answered", 200, REPORT),
        (True, "127.0.0.1:7004", "answered", 200, REPORT),
        (True, "127.0.0.1:7004", "answered", 200, "rubbish"),
        (True, "127.0.0.1:7004", "answered", 200, '{"queue": "x"}'),
        (True, "127.0.0.1:7004", "answered", 503, ""),
        *((True, "127.0.0.1:7004", o, 0, "") for o in ("connect_failed", "unreached", "timeout", "reset")),
        (True, "127.0.0.1:7004", "unreadable", 0, ""),
        (True, None, "answered", 200, ""),
    )
]

REQUESTS = [
    {"part": "discovery", "answers": []},
    {"part": "discovery", "answers": [_list(ENTRY)]},
    {"part": "discovery", "answers": [_list(ENTRY), _list(ENTRY, generation=50)]},
    {"part": "news", "answers": []},
    {"part": "inquiry", "answers": []},
    {"part": "relay", "answers": []},
]
