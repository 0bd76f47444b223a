"""The program itself, spoken to over sockets: what goes wrong at its peers, and that it goes on serving."""
import random
import signal
import socket
import threading
import time

import pytest

from world import SETTINGS, Platform, Program, eventually, free_address


@pytest.fixture
def platform(tmp_path):
    found = Platform(tmp_path)
    yield found
    found.close()


def drain(platform, backend):
    """A change that the module must answer with orders; waits until they stand."""
    platform.change(backend, "DRAINING")
    eventually(lambda: platform.agrees() and not any(backend in t for t in platform.tables.values()))


def heartbeat(platform):
    with platform.call() as sock:
        sock.sendall(b"hb\r\n")
        return sock.makefile("rb").readline() == b"hb_ok\r\n"


def none_lost(platform):
    """Marks count the calls: every one stood, in order, the same again only before anything later."""
    marks = [m for m, before in zip(platform.marks, [0, *platform.marks]) if m != before]
    return marks == list(range(marks[0], marks[0] + len(marks)))


def test_a_day_in_small(platform):
    program = platform.serving()
    assert heartbeat(platform)
    drain(platform, "b1")
    platform.change("b1", "SERVING", started=int(time.time() * 1000))
    drain(platform, "b2")
    eventually(lambda: {b for b, _ in platform.probed} >= set("b0 b3 b4 b5".split()))
    assert program.end() == 0 and not program.process.stderr.read()
    assert [e["now"] for e in program.said("phase")] == ["listening", "serving", "ending", "ended"]
    counters = program.log[-1]
    assert counters["event"] == "counters" and counters["heartbeats_answered"] == 1
    assert counters["orders_stand"] == counters["orders"] and counters["probes_ok"] >= 4
    assert none_lost(platform)


def test_sums_reach_the_module(platform):
    """The busiest gives to the least loaded: all that is asked for lies on b0."""
    platform.serving()
    with platform.call() as sock:
        sock.sendall(b"telemetry site=east\r\n")

        def moved():
            lines = [f"range_stats range={s} lane=search count={80 if s % 6 == 0 else 4} fail=0 over=100.0"
                     for s in range(12)]
            lines += [f"upstream_stats site=east target=b{n} count=20 fail=0 mean=41.7 over=100.0 "
                      "util=pending:1,svc_ms:41.5" for n in range(6)]
            sock.sendall(("\r\n".join(lines) + "\r\n").encode())
            return "b0" not in platform.tables[0] or "b0" not in platform.tables[6]
        eventually(moved)
        sock.settimeout(0.05)
        with pytest.raises(TimeoutError):       # nothing is ever written to a collector
            sock.recv(1)


GOOD = b"range_stats range=3 lane=search count=40 fail=1 over=1000.0\r\n"


def ended(sock, seconds=3.0):
    """What it hears before its connection is closed, in good time."""
    sock.settimeout(seconds)
    heard = b""
    try:
        while part := sock.recv(4096):
            heard += part
    except ConnectionError:
        pass
    return heard


def test_spoilt_lines_are_dropped_and_good_ones_round_them_count(platform):
    program = platform.serving()
    bad = [b"range_stats range=3 lane=search count=40 fail=1", b"range_stats range=x lane=search count=4",
           b"range_stats range=99999 lane=search count=2 fail=1 over=9", b"telemetry site=west", b"telemetry",
           b"range_stats range=3 lane=search count=-4 fail=1 over=nan", b"unheard_of a=1", b"put a=1",
           b"range_stats range=3 lane=nothing count=4 fail=1 over=9", b"attach id=1 site=east rps=1 new=1",
           b"upstream_stats site=east target=b1 count=2 fail=0 mean=inf over=1.0",
           b"upstream_stats site=east target=b99 count=2 fail=0 mean=4 over=1.0",
           b"upstream_stats site=west target=b1 count=2 fail=0 mean=4 over=1.0",
           b"upstream_stats site=east target=b1 count=2 fail=0 mean=4 over=1 util=pending:x,svc_ms:3"]
    with platform.call() as sock:
        sock.sendall(b"telemetry site=east\r\n")
        for line in bad * 3:                    # never many in a row
            sock.sendall(line + b"\r\n" + GOOD)
        for n in range(len(GOOD)):
            sock.sendall(GOOD[n:n + 1])         # in pieces
        sock.sendall(b"upstream_stats site=east target=b1 count=2 fail=0 mean=4 over=1 util=pending:2\r\n")
        eventually(lambda: program.counters().get("lines_upstream_stats") == 1)
        counters = program.counters()
        assert counters["lines_range_stats"] == 3 * len(bad) + 1 and counters["line_spoilt"] == 3 * len(bad)
        platform.change("b5", "DELETED")        # what is told of it comes late, and is no spoilt line
        eventually(lambda: program.said("decision", text="b5 gone: 2 slices leave"))
        sock.sendall(b"upstream_stats site=east target=b5 count=2 fail=2 mean=0.0 over=1\r\n")
        eventually(lambda: program.counters()["lines_upstream_stats"] == 2)
        sock.sendall(b"range_stats ran")
    eventually(lambda: program.counters().get("line_cut_off") == 1)
    assert not program.said("connection_garbled") and heartbeat(platform)


@pytest.mark.parametrize("said", [b"\xff\xfe\x00 range=1\r\n", b"x" * ((1 << 20) + 9000), b"hb hb hb\r\n",
                                  (GOOD[:20] + b"\r\n") * 20, b"range_stats range=3 lane="])
def test_a_collector_that_goes_on_unreadable_is_closed_so_that_it_returns(platform, said):
    program = platform.serving()
    with platform.call() as sock:
        sock.sendall(b"telemetry site=east\r\n" + GOOD)
        eventually(lambda: program.counters().get("lines_range_stats"))
        try:
            sock.sendall(said)
        except ConnectionError:                 # closed in the middle of it
            pass
        assert ended(sock, 5.0) == b""          # nothing is ever written to a collector
    with platform.call() as sock:
        sock.sendall(b"telemetry site=east\r\n" + GOOD)
        eventually(lambda: program.counters()["lines_range_stats"] == 2)


@pytest.mark.parametrize("said", [
    b"\x16\x03\x01\x02\0\x01", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", b"attach id=9 site=east rps=1 new=1\r\n",
    GOOD, b"telemetry site=nowhere\r\n", b"put,4,b1,1.5\r\n", b"x" * 9000, b"", b"telemetry si", b"hb\r\n",
    b"*3\r\n$-1\r\n"])
def test_strangers_are_rejected_or_closed(platform, said):
    program = platform.serving()
    before = program.counters()["events"]
    with platform.call() as sock:
        sock.sendall(said)
        heard = ended(sock)
        assert heard in (b"", b"reject\r\n", b"hb_ok\r\nreject\r\n")
        assert heard.startswith(b"hb_ok") == (said == b"hb\r\n")
    with platform.call() as sock:               # one that asks again and again has no more time for it
        end = time.monotonic() + 3
        with pytest.raises(OSError):
            while time.monotonic() < end:
                sock.sendall(b"hb\r\n")
                time.sleep(0.05)
    assert not program.counters().get("lines_range_stats") and program.counters()["events"] < before + 99


def test_strangers_fill_the_connections(tmp_path):
    platform = Platform(tmp_path, sockets=256)
    program = platform.serving()
    strangers, joined, filling = [], [], True

    def fill():
        while filling:                          # silent, or with half a message
            strangers.append(platform.call())
            strangers[-1].sendall(b"range_st" * (len(strangers) % 2))
    try:
        with platform.call() as collector:
            collector.sendall(b"telemetry site=east\r\n")
            threading.Thread(target=fill, daemon=True).start()
            eventually(lambda: program.counters().get("stranger_dropped_for_room", 0) > 50)
            collector.sendall(GOOD)
            eventually(lambda: program.counters().get("lines_range_stats") == 1)
            drain(platform, "b1")
            for n in range(6):                  # all get in; of a zone the oldest go
                joined.append(platform.call())
                joined[-1].sendall(b"telemetry site=east\r\n" + GOOD)
                eventually(lambda n=n: program.counters()["lines_range_stats"] == n + 2)
            assert program.counters()["collector_replaced"] == 3
            assert heartbeat(platform) and not program.said("accept_failed")
            filling = False
            for sock in strangers[-5:]:
                assert ended(sock) in (b"", b"reject\r\n")
    finally:
        filling = False
        for sock in strangers + joined:
            sock.close()
        platform.close()


def test_callers_that_fill_the_memory_starve_no_call(tmp_path):
    platform, callers = Platform(tmp_path, backends=4, slices=800, memory=32), []
    program = platform.serving()
    try:
        for n in range(40):                     # each the longest message there is, and no end of it
            callers.append(platform.call())
            try:
                callers[-1].sendall((b"telemetry site=east\r\n" if n % 4 else b"") + b"y" * (1 << 20))
            except ConnectionError:
                pass
        eventually(lambda: program.counters().get("line_too_long", 0) >= 10)
        drain(platform, "b1")                   # in a call longer than a ring is at first
        assert max(len(";".join(call)) for call in platform.calls) > 4096 and none_lost(platform)
        with open(f"/proc/{program.process.pid}/status") as status:
            peak = next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))
        assert peak < 32 << 10                  # kB: all that is allowed
    finally:
        for sock in callers:
            sock.close()
        platform.close()


RELAY_FAULTS = ["Throttling", "reset", "reset done", "silent", "silent done", "garbage", "garbage done",
                "rubbish done", "503", "close"]


@pytest.mark.parametrize("fault", RELAY_FAULTS)
def test_calls_that_go_wrong_stand_in_the_end(platform, fault):
    platform.serving()
    platform.relay_faults += [fault] * 2
    drain(platform, "b1")
    drain(platform, "b2")
    assert not platform.relay_faults and none_lost(platform)


def test_calls_that_go_again_count_as_messages(platform):
    family = SETTINGS["family-info"] | {"messages-most": 4, "counted-over": 1000.0}
    program = platform.start(settings=SETTINGS | {"family-info": family})
    eventually(lambda: program.said("phase", now="serving"))
    platform.relay_faults += ["reset done"] * 9
    drain(platform, "b1")
    eventually(lambda: not platform.relay_faults)
    assert min(late - early for early, late in zip(platform.times, platform.times[4:])) > 1.0
    assert none_lost(platform) and program.said("call_held_back")


@pytest.mark.parametrize("seed", range(3))
def test_store_and_module_agree_after_any_faults(platform, seed):
    rng = random.Random(seed)
    program = platform.serving()
    for step in range(8):
        platform.relay_faults += rng.choices(RELAY_FAULTS, k=rng.randint(0, 3))
        if rng.random() < 0.3:
            platform.news_faults.append(rng.choice(["reset", "unreadable", "rubbish"]))
        if step % 2 and rng.random() < 0.5:
            platform.discovery_faults.append(rng.choice(["503", "reset", "whole", "garbage"]))
        busy = rng.choice(sorted(b for t in platform.tables.values() for b in t))
        drain(platform, busy)
        platform.change(busy, "SERVING", started=int(time.time() * 1000) - 60_000)
    assert none_lost(platform) and not program.said("defect")


@pytest.mark.parametrize("faults", [["silent"] * 3, ["reset", "garbage done", "503", "silent done"]])
def test_a_lost_coordinators_proxies_join_while_the_relay_fails(tmp_path, faults):
    """640 proxies within a second, answers late, in part or not at all: signs of life all the while, nobody
    already joined is harmed, and no more than 1,024 descriptors."""
    platform = Platform(tmp_path, backends=24, slices=140, proxies=40, sockets=1024)
    try:
        family = SETTINGS["family-info"] | {"queue-cap": 640 * 173.0, "egress-per-s": 640 * 115.0}
        program = platform.start(settings=SETTINGS | {"family-info": family})
        eventually(lambda: program.said("phase", now="serving"))
        platform.relay_faults += faults
        slowest = 0.0
        for first in range(40, 640, 60):
            with platform.lock:
                platform.proxies |= set(range(first, first + 60))
                for proxy in range(first, first + 60):
                    platform.tell("attach", id=proxy, site="east", rps=5.0, new=0)
            if first == 220:
                platform.change("b3", "DRAINING")
            began = time.monotonic()
            assert heartbeat(platform)
            slowest = max(slowest, time.monotonic() - began)
            time.sleep(0.1)
        eventually(lambda: not any("b3" in t for t in platform.tables.values()) and platform.agrees())
        assert slowest < 0.5 and none_lost(platform) and not program.said("defect")
        eventually(lambda: program.counters()["news_attach"] >= 640)
        drain(platform, "b7")
    finally:
        platform.close()


def test_one_refused_order_is_dropped_and_the_rest_stands(platform):
    program = platform.serving()
    platform.refused = {"b0", "b2", "b3", "b4"}         # b5 is all that is left for two slices
    platform.change("b1", "DRAINING")
    eventually(lambda: program.said("order_refused") or platform.agrees())
    eventually(lambda: not any("b1" in t for t in platform.tables.values()))
    platform.refused = set()
    eventually(platform.agrees)
    refused = program.said("order_refused")
    assert all(e["order"].startswith("put,") for e in refused) and len(refused) < 60


def test_an_invalid_call_is_not_repeated(platform):
    program = platform.serving()
    platform.relay_faults.append("ValidationError")
    platform.change("b1", "DRAINING")
    eventually(lambda: program.said("relay_call_invalid"))
    eventually(platform.agrees)                 # the module was told that nothing came of it
    assert len(program.said("relay_call_invalid")) == 1 and len(platform.calls) < 20


@pytest.mark.parametrize("fault", ["reset", "silent", "unreadable", "rubbish"])
def test_news_that_break_are_compared_with_what_was_known(platform, fault):
    program = platform.serving()
    drain(platform, "b1")
    with platform.lock:
        platform.proxies = {0, 1, 7}
        del platform.tables[3]
        platform.tables[4] = {"b1": 1.0}        # written by another coordinator meanwhile
        platform.news_faults.append(fault)
    eventually(lambda: program.said("news_begun", proxies=3, slices=11))
    eventually(platform.agrees)
    drain(platform, "b2")                       # slice 3 would be refused nothing, but is not ours
    assert not any(order.startswith("put,3,") for call in platform.calls[1:] for order in call)


def test_slices_given_and_taken_while_serving(platform):
    platform.serving()
    with platform.lock:
        platform.tables[50], platform.tables[51] = {}, {"b1": 1.0}
        for number in (50, 51):
            platform.tell("owner", range=number, flag=1)
        platform.tell("entry", range=51, target="b1", rps=1.0)
        platform.tell("owner", range=2, flag=0)
        del platform.tables[2]
        platform.tell("detach", id=0)
        platform.tell("weather", wind=3)        # unknown kinds are passed over
    eventually(platform.agrees)
    drain(platform, "b1")
    assert not any(order.startswith("put,2,") for call in platform.calls for order in call)


@pytest.mark.parametrize("fault", ["503", "reset", "silent", "garbage", "rubbish", "whole", "close"])
def test_discovery_that_fails_is_asked_again(platform, fault):
    program = platform.serving()
    platform.discovery_faults += [fault] * (2 if fault == "reset" else 1)   # one may cross the request
    drain(platform, "b1")
    eventually(lambda: not platform.discovery_faults)
    drain(platform, "b2")
    assert bool(program.said("discovery_failed")) == (fault not in ("whole", "close"))


def test_backends_move_and_vanish_from_the_list(platform):
    platform.serving()
    moved = platform.backends["b0"]
    eventually(lambda: moved.connections)
    platform.add("b0")                          # the same id at another address
    eventually(lambda: platform.backends["b0"].connections)
    del platform.listed["b3"]
    platform.discovery_faults.append("whole")
    eventually(lambda: not any("b3" in t for t in platform.tables.values()))
    moved.close()


def test_probes_tell_what_happened(platform):
    platform.behaviour = {"b0": "503", "b1": "silent", "b2": "reset", "b3": "garbage", "b4": "rubbish"}
    platform.backends["b5"].close()
    platform.change("b5", address="127.0.0.1:1")
    platform.add("b6")
    platform.change("b6", address="nowhere")
    program = platform.serving()
    program.start_seen = eventually(lambda: (c := program.counters()).get("probes_connect_failed", 0) > 1
                                    and c.get("probes_timeout") and c.get("probes_reset") and c)
    counters = eventually(lambda: (c := program.counters()).get("load_report_unreadable") and c)
    assert counters["probes_error"] >= 2 and heartbeat(platform)
    assert {path for _, path in platform.probed} == {"/stats"}


def test_reload_moves_to_other_addresses(platform):
    program = platform.serving()
    for times in (1, 2):
        left = platform.move()
        platform.change(f"b{times}", "DRAINING")        # meets the reload
        eventually(lambda n=times: len(program.said("reloaded", moved=True)) == n)
        eventually(lambda n=times: len(program.said("news_begun")) == n + 1)
        assert not program.said("news_lost") and not program.said("discovery_failed")
        for peer in left:
            peer.close()
        drain(platform, f"b{times}")
    assert none_lost(platform) and heartbeat(platform) and not program.said("defect")
    assert not any("needs_restart" in e for e in program.said("reloaded"))
    platform.reload(limits={"cores": 1.0, "memory_mb": 64, "sockets": 256},
                    store={"address": platform.relay.address}, discovery=platform.discovery.address,
                    settings=SETTINGS | {"period": 8.0})
    eventually(lambda: program.said("reloaded", moved=False, needs_restart=["limits", "settings.period"]))
    assert program.end() == 0


def test_reload_to_addresses_that_are_not_up_yet(platform):
    program, coming = platform.serving(), [free_address(), free_address()]
    for _ in range(2):                          # one in the middle of the other
        platform.reload(store={"address": coming[0]}, discovery=coming[1])
        platform.reload(store={"address": free_address()}, discovery=free_address())
    platform.reload(store={"address": coming[0]}, discovery=coming[1])
    eventually(lambda: program.said("news_lost", why="connect_failed"))
    eventually(lambda: program.said("discovery_not_there_yet"))
    platform.change("b1", "DRAINING")           # what is still open there tells it; no call gets through yet
    eventually(lambda: program.said("relay_call_unclear", why="connect_failed"))
    for peer in platform.move([int(at.rpartition(":")[2]) for at in coming]):
        peer.close()
    drain(platform, "b1")
    drain(platform, "b2")
    eventually(lambda: len(program.said("news_begun")) == 2)
    assert none_lost(platform) and heartbeat(platform)


@pytest.mark.parametrize("text", ["{", "[]", "{}", None, '{"store": {"address": "nowhere"}}'])
def test_a_file_that_can_not_be_used_changes_nothing(platform, text):
    program = platform.serving()
    if text is None:
        program.file.unlink()
    elif "store" in text:
        platform.reload(store={"address": "nowhere"})
    else:
        program.file.write_text(text)
    program.process.send_signal(signal.SIGHUP)
    eventually(lambda: program.said("reload_failed"))
    drain(platform, "b1")
    assert not program.said("reloaded") and not program.said("news_lost") and none_lost(platform)


def test_reload_meets_the_end(platform):
    program = platform.serving()
    platform.relay_faults += ["silent"] * 99
    platform.change("b1", "DRAINING")
    eventually(lambda: program.said("relay_call_unclear"))
    platform.move()
    program.process.send_signal(signal.SIGHUP)
    assert program.end() == 0
    assert program.log[-1]["event"] == "counters"


def test_restart_from_nothing_with_an_old_list(platform):
    platform.serving()
    drain(platform, "b1")
    platform.program.process.kill()
    platform.program.process.wait()
    platform.add("b9")
    with platform.lock:
        for table in list(platform.tables.values())[:4]:
            table.clear()
            table["b9"] = 1.0                   # known to the store, not to the list of old
    platform.change("b0", "DELETED")
    program = platform.serving()                # its `known` still has b0 and b1, and no b9
    eventually(platform.agrees)
    program.counters()
    assert not any(o.startswith("put") and ",b9,0.0" in o for call in platform.calls for o in call)


@pytest.mark.parametrize("phase", ["listening", "serving", "calling"])
def test_told_to_end_in_any_phase(platform, phase):
    if phase == "listening":
        platform.news_faults += ["silent"] * 9
        program = platform.start()
        eventually(lambda: program.said("phase", now="listening"))
    else:
        program = platform.serving()
    if phase == "calling":
        platform.relay_faults += ["silent"] * 99
        platform.change("b1", "DRAINING")
        eventually(lambda: program.said("relay_call_unclear"))
    assert program.end() == 0
    assert program.said("phase", now="ended") and program.log[-1]["event"] == "counters"


def test_a_module_that_breaks_is_begun_anew(platform):
    family = SETTINGS["family-info"] | {"egress-per-s": "fast"}
    program = platform.start(settings=SETTINGS | {"family-info": family})
    eventually(lambda: program.said("phase", now="serving"))
    platform.change("b1", "DRAINING")
    eventually(lambda: program.counters().get("module_begun_anew", 0) > 1)
    assert "TypeError" in program.said("defect")[0]["error"] and heartbeat(platform)


@pytest.mark.parametrize("config", [
    "no JSON", "[]", "{}", '{"seed":"1","settings":{"classes":[{}]}}',
    '{"seed":"1","settings":{"classes":[]},"known":{"instances":[{}]}}', None])
def test_a_configuration_that_can_not_be_read_ends_it(tmp_path, config):
    program = Program(tmp_path, config or "", **{} if config else {"BALANCER_CONFIG": "/nowhere/config.json"})
    assert program.process.wait(10) not in (0, None)
    program.reader.join(5)
    assert len(program.said("cannot_start")) == 1 and not program.process.stderr.read()


@pytest.mark.parametrize("settings,why", [
    (SETTINGS | {"classes": []}, "no method"),
    (SETTINGS | {"family-info": {"admission": "share"}}, "family-info.report-every is missing"),
    (SETTINGS | {"family-info": SETTINGS["family-info"] | {"report-every": 0.0}}, "family-info.report-every"),
    (SETTINGS | {"classes": [SETTINGS["classes"][0] | {"aim": -1.0}]}, "search: aim")])
def test_settings_that_can_not_be_used_are_named(platform, settings, why):
    program = platform.start(settings=settings)
    assert program.process.wait(10) == 1
    program.reader.join(5)
    assert why in program.said("cannot_start")[0]["why"] and not program.said("defect")


def test_an_address_that_can_not_be_had_ends_it(platform):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        for listen in (f"127.0.0.1:{taken.getsockname()[1]}", "nowhere", "127.0.0.1:0x10"):
            program = platform.start(listen=listen, settings=SETTINGS)
            assert program.process.wait(10) not in (0, None)
            program.reader.join(5)
            assert len(program.said("cannot_start")) == 1 and not program.process.stderr.read()
