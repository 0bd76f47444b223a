"""Batches: directives, requests on the control socket, outcomes of RPCs, overload, and the price file."""

import pytest

from indigohitch.config import operator_file, sidecar_file
from indigohitch.config.lines import ConfigError
from indigohitch.errors import InvalidRequestError
from indigohitch.fleet.batches.admin_requests import contract_of, parse_batch, parse_decision
from indigohitch.fleet.batches.overload import OverloadDetector
from indigohitch.fleet.batches.rows import OperatorDecision
from indigohitch.fleet.batches.sending import outcome
from indigohitch.fleet.batches.setup import PriceFile
from indigohitch.log import Log
from indigohitch.net.http_response import HttpResponse

FILE = """name n1
fleet whk
member n1 127.0.0.1:7401 votes
ledger /tmp/n1
edition 3
batch-slot 15m
site eros zone Europe/Berlin holidays DE-BE
lanes eros std 8
band eros workday,saturday 06:00-22:00 24.5
band eros any 00:00-24:00 -1.25
peak eros 40kW surcharge 12
batch-class dunning non-idempotent path /d/{piece}/{step} power std=1.5kW pause 0.4 seats geo=1 sites eros
prices /tmp/prices.txt
runs eros std 4 to 127.0.0.1:8080
seats geo 5
"""


def test_the_contract_of_an_operator_s_file():
    text = operator_file.read(FILE).fleet.parts["batches"][0]
    contract = contract_of(text, 3)
    site, (rpc,) = contract.sites[0], contract.classes
    assert (contract.slot, site.lanes, site.peak, site.surcharge) == (9_000_000, {"std": 8}, 40_000, 12_000)
    assert [(band.days, band.begin, band.end, band.price) for band in site.bands] == [
        (("workday", "saturday"), 216_000_000, 792_000_000, 24_500),
        ((), 0, 864_000_000, -1250),
    ]
    assert (rpc.idempotent, rpc.power, rpc.pause, rpc.seats) == (False, {"std": 1500}, 400, {"geo": 1})
    assert text.runs[0].to == ("127.0.0.1", 8080) and text.prices == "/tmp/prices.txt"


@pytest.mark.parametrize(
    "change, line, why",
    [
        (("edition 3\n", "\n"), 7, "edition"),
        (("15m", "7m"), 6, "divides the hour"),
        (("15m", "1h"), 6, ""),
        (("zone Europe/Berlin ", ""), 7, "zone"),
        (("DE-BE", "Berlin"), 7, "country"),
        (("lanes eros std 8\n", "\n"), 7, "lanes"),
        (("eros workday", "mars workday"), 9, "no site mars"),
        (("06:00-22:00", "22:00-06:00"), 9, "two lines"),
        (("06:00", "06:10"), 9, "slot"),
        (("24.5", "cheap"), 9, "price"),
        (("surcharge 12", "surcharge 0"), 11, "surcharge"),
        (("std=1.5kW", "std=much"), 12, "power"),
        (("std=1.5kW", "old=1.5kW"), 12, "nodes of its kinds"),
        (("sites eros", "sites mars"), 12, "no site mars"),
        (("runs eros std", "runs eros old"), 14, "no lanes"),
        ((" to 127.0.0.1:8080", ""), 14, "no sidecar"),
    ],
)
def test_each_mistake_is_reported_with_its_line(change, line, why):
    if not why:
        assert operator_file.read(FILE.replace(*change)).fleet.parts["batches"][0].slot == 36_000_000
        return
    with pytest.raises(ConfigError) as raised:
        operator_file.read(FILE.replace(*change))
    assert (line, True) in [(at, why in text) for at, text in raised.value.found], raised.value.found


def test_a_sidecar_sends_pieces_to_its_own_address():
    text = sidecar_file.read("""name s1
listen 127.0.0.1:8080
rpc d idempotent
pool p
server a 127.0.0.1:9 pool p
route POST /d/{x} rpc d pool p
fleet whk
member n1 127.0.0.1:7401 votes
member s1 127.0.0.1:7402 follows
ledger /tmp/s1
runs eros std 2
""")
    assert text.fleet.parts["batches"][0].runs[0].to == ("127.0.0.1", 8080)


PIECE = {
    "earliest": "2026-12-02T18:00+01:00",
    "latest": "2026-12-03T06:00+01:00",
    "work": "40m",
    "steps": 200,
}
BATCH = {"id": "b", "tenant": "t", "class": "c", "pieces": [PIECE]}


def test_requests_for_batches_and_decisions_are_parsed_and_checked():
    (cut,) = parse_batch(BATCH).cuts
    assert (cut.latest - cut.earliest, cut.work, cut.steps) == (12 * 36_000_000, 24_000_000, 200)
    for invalid in (
        None,
        [],
        BATCH | {"id": ""},
        BATCH | {"pieces": "all"},
        BATCH | {"pieces": [{}]},
        *(
            BATCH | {"pieces": [PIECE | wrong]}
            for wrong in ({"steps": "many"}, {"work": "40"}, {"latest": "2026-12-03T06:00"})
        ),
    ):
        with pytest.raises(InvalidRequestError) as raised:
            parse_batch(invalid)
        assert "dunning-7" in raised.value.remedy
    assert parse_decision("b.1 from 8") == OperatorDecision("b.1", "from", 8) and parse_decision(
        "b.1 done"
    ) == OperatorDecision("b.1", "done")
    for invalid in ("", "b.1", "b.1 from", "b.1 from x", "b.1 again"):
        with pytest.raises(InvalidRequestError):
            parse_decision(invalid)


@pytest.mark.parametrize(
    "answer, expected",
    [
        (HttpResponse("answered", 200), "ok"),
        (HttpResponse("connect_failed"), "not run"),
        (HttpResponse("unreached"), "not run"),
        (HttpResponse("timeout"), "unknown"),
        (HttpResponse("reset"), "unknown"),
        (HttpResponse("answered", 502), "unknown"),
        (HttpResponse("answered", 503, b"no server now\n"), "not run"),
        (HttpResponse("answered", 503, b"eh"), "unknown"),
        (HttpResponse("answered", 404), "refused"),
        (HttpResponse("answered", 429), "not run"),
    ],
)
def test_only_an_rpc_that_surely_never_ran_counts_as_not_run(answer, expected):
    assert outcome(answer)[0] == expected


def record(detector, now, latencies):
    for latency in latencies:
        now += 300
        detector.record_latency(now, latency)
        detector.is_overloaded(now)
    return now


def test_overload_begins_and_ends_soon_and_single_slow_rpcs_are_none():
    detector = OverloadDetector()
    # One slow RPC in twelve.
    now = record(detector, 0, [400, 410, 420, 405, 430, 400, 410, 420, 405, 430, 410, 900] * 20)
    assert not detector.overloaded and detector.overload_count == 0
    now = record(detector, now, [700] * 6)
    assert detector.overloaded
    now = record(detector, now, [410] * 40)
    assert not detector.overloaded
    now = record(detector, now, [700] * 8)
    assert detector.overloaded and not detector.is_overloaded(now + 20_000)  # no interactive RPCs for 2 s


def test_batches_do_not_raise_the_baseline():
    detector = OverloadDetector()
    now, baseline = record(detector, 0, [400, 410, 420] * 20), detector.baseline
    detector.batches_running = True
    record(detector, now, [round(baseline * 1.1)] * 5000)
    assert detector.baseline <= baseline


class Clock:
    time = 0

    def now(self):
        self.time += 60_000
        return self.time


def test_an_invalid_price_file_leaves_the_last_valid_list(tmp_path):
    path, log = tmp_path / "prices.txt", Log(Clock(), output_fd=-1)
    file = PriceFile(log, str(path), {"eros"}, Clock())
    assert file() is None and log.counts["prices_missing"] == 1
    path.write_text("edition 1\neros 2026-12-02T14:00+01:00 20\n")
    assert file().edition == 1
    path.write_text("edition 2\neros 2026-12-02T14:00+01:00 twenty\n")
    assert file().edition == 1 and file().edition == 1 and log.counts["prices_refused"] == 1
    path.write_text("edition 2\neros 2026-12-02T14:00+01:00 21.5\n")
    assert file().edition == 2
