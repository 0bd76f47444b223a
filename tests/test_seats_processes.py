"""Seats over sockets: one voter, one sidecar, two stand-in servers that check passes."""

import http.client
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "proofs"))
from fleetkit import Fleet, Pool, until  # noqa: E402
from seats_truth import Servers, Truth  # noqa: E402

RPCS = ["rpc geocode idempotent soft 1s deadline 1500ms seat geo", "rpc plain idempotent"]
USER = "seat-user X-User"
ROUTES = [
    "route GET /geocode/{id} rpc geocode pool nodes",
    "route GET /plain/{id} rpc plain pool nodes",
    "route POST /geocode/{id} rpc geocode pool nodes",
]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    path = tmp_path_factory.mktemp("seats")
    servers = Servers(path, 2, 2.0)
    with Fleet(
        path,
        voters=1,
        sidecars=1,
        relay=False,
        more=["edition 1", "seats geo 2 drain 1s", USER],
        pools=[Pool(servers=servers.at, rpcs=RPCS, routes=ROUTES)],
    ) as found:
        found.servers = servers
        found.start()
        until(lambda: seats(found).get("members", {}).get("s1") == 2, 10, "seats at s1")
        yield found
    servers.close()


def seats(fleet):
    found = (fleet.of_fleet("s1") or {}).get("works", {}).get("seats", {})
    return found.get("features", {}).get("geo", {}) | {"edition": found.get("edition")}


def ask(fleet, target="/geocode/1", act="", method="GET", body=None, **headers):
    connection = http.client.HTTPConnection(*fleet.listen["s1"].split(":"), timeout=10)
    connection.request(method, target, body, headers | ({"X-Act": act} if act else {}))
    answer = connection.getresponse()
    answer.content = answer.read()
    connection.close()
    return answer


def test_a_seat_goes_with_the_rpc_and_comes_back(fleet):
    for n in range(6):
        assert ask(fleet, f"/geocode/{n}").status == 200, "the first at a server is retried"
    assert ask(fleet, method="POST", body=b"x" * 1000).content.endswith(b"acted 1000")
    assert seats(fleet)["in_use"] == 0


def test_without_one_it_is_given_up_at_once(fleet):
    held = [threading.Thread(target=ask, args=(fleet, "/geocode/7", "wait=1000")) for _ in range(2)]
    for thread in held:
        thread.start()
    until(lambda: seats(fleet)["in_use"] == 2)
    answer = ask(fleet)
    assert answer.status == 503 and answer.headers["Retry-After"] == "1"
    assert ask(fleet, "/plain/1").status == 200, "others need none"
    for thread in held:
        thread.join()
    assert ask(fleet).status == 200


def test_a_client_can_not_bring_a_seat(fleet):
    given = Truth(fleet.servers, "geo").given
    forged = {"X-Seat": "geo 0 99999 1 0 - 99999999999999 s1 1 1 1 1"}
    assert ask(fleet, **forged).status == 200 and ask(fleet).status == 200
    assert Truth(fleet.servers, "geo").given == given + 2


def test_a_job_of_which_nothing_is_heard_keeps_its_seat_until_its_end(fleet):
    threads = [threading.Thread(target=ask, args=(fleet, "/geocode/3", "mute")) for _ in range(2)]
    for thread in threads:
        thread.start()
    until(lambda: seats(fleet)["in_use"] == 2)
    for name in fleet.servers.at:
        if fleet.servers.stats(name)["running"]:
            fleet.servers.kill(name)
            fleet.servers.start(name)
    assert ask(fleet).status == 503
    for thread in threads:
        thread.join()
    until(lambda: ask(fleet).status == 200 and seats(fleet)["in_use"] == 0)
    assert Truth(fleet.servers, "geo").peak() == 2


def test_a_node_and_a_user_share_their_seat(fleet):
    for edition, kind, given in ((2, "node linger 200ms", 6), (3, "user linger 200ms", 6), (4, "job", 2)):
        fleet.write(more=[f"edition {edition}", f"seats geo 2 kind {kind} drain 1s", USER])
        fleet.hup_all()
        until(lambda edition=edition: seats(fleet)["edition"] == edition and seats(fleet)["in_use"] == 0)
        with ThreadPoolExecutor(6) as clients:
            found = list(
                clients.map(
                    lambda n: ask(fleet, f"/geocode/{n}", "wait=700", **{"X-User": f"u{n % 2}"}).status,
                    range(6),
                )
            )
        assert found.count(200) == given, (kind, found)


def test_a_contract_that_ends_ends_giving(fleet):
    fleet.write(more=["edition 5", "seats geo 1 drain 1s"])
    fleet.hup_all()
    until(lambda: seats(fleet).get("seats") == 1 and not seats(fleet)["over"])
    fleet.write(more=["edition 6", "seats geo 1 to 2020-01-01"])
    fleet.hup_all()
    until(lambda: ask(fleet).status == 503)
    assert ask(fleet, "/plain/1").status == 200
