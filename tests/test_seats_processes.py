"""Tests seats over sockets: one voter, one sidecar, and two stand-in servers that check passes."""

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
USER_HEADER = "seat-user X-User"
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
        more=["edition 1", "seats geo 2 drain 1s", USER_HEADER],
        pools=[Pool(servers=servers.at, rpcs=RPCS, routes=ROUTES)],
    ) as started:
        started.servers = servers
        started.start()
        until(lambda: seats_status(started).get("members", {}).get("s1") == 2, 10, "seats at s1")
        yield started
    servers.close()


def seats_status(fleet):
    status = (fleet.of_fleet("s1") or {}).get("works", {}).get("seats", {})
    return status.get("features", {}).get("geo", {}) | {"edition": status.get("edition")}


def send_request(fleet, target="/geocode/1", act="", method="GET", body=None, **headers):
    connection = http.client.HTTPConnection(*fleet.listen["s1"].split(":"), timeout=10)
    connection.request(method, target, body, headers | ({"X-Act": act} if act else {}))
    response = connection.getresponse()
    response.content = response.read()
    connection.close()
    return response


def test_a_seat_is_allocated_for_each_rpc_and_released_with_its_response(fleet):
    for n in range(6):
        assert send_request(fleet, f"/geocode/{n}").status == 200, (
            "the first RPC to a server is refused there and retried"
        )
    assert send_request(fleet, method="POST", body=b"x" * 1000).content.endswith(b"acted 1000")
    assert seats_status(fleet)["in_use"] == 0


def test_an_rpc_without_a_free_seat_fails_at_once(fleet):
    holders = [
        threading.Thread(target=send_request, args=(fleet, "/geocode/7", "wait=1000")) for _ in range(2)
    ]
    for thread in holders:
        thread.start()
    until(lambda: seats_status(fleet)["in_use"] == 2)
    response = send_request(fleet)
    assert response.status == 503 and response.headers["Retry-After"] == "1"
    assert send_request(fleet, "/plain/1").status == 200, "other RPCs need no seat"
    for thread in holders:
        thread.join()
    assert send_request(fleet).status == 200


def test_a_seat_header_of_a_client_is_ignored(fleet):
    given = Truth(fleet.servers, "geo").given
    forged = {"X-Seat": "geo 0 99999 1 0 - 99999999999999 s1 1 1 1 1"}
    assert send_request(fleet, **forged).status == 200 and send_request(fleet).status == 200
    assert Truth(fleet.servers, "geo").given == given + 2


def test_a_job_without_a_response_keeps_its_seat_until_its_end(fleet):
    threads = [threading.Thread(target=send_request, args=(fleet, "/geocode/3", "mute")) for _ in range(2)]
    for thread in threads:
        thread.start()
    until(lambda: seats_status(fleet)["in_use"] == 2)
    for name in fleet.servers.at:
        if fleet.servers.stats(name)["running"]:
            fleet.servers.kill(name)
            fleet.servers.start(name)
    assert send_request(fleet).status == 503
    for thread in threads:
        thread.join()
    until(lambda: send_request(fleet).status == 200 and seats_status(fleet)["in_use"] == 0)
    assert Truth(fleet.servers, "geo").peak() == 2


def test_jobs_of_a_node_or_a_user_share_a_seat(fleet):
    for edition, kind, succeeding in (
        (2, "node linger 200ms", 6),
        (3, "user linger 200ms", 6),
        (4, "job", 2),
    ):
        fleet.write(more=[f"edition {edition}", f"seats geo 2 kind {kind} drain 1s", USER_HEADER])
        fleet.hup_all()
        until(
            lambda edition=edition: (
                seats_status(fleet)["edition"] == edition and seats_status(fleet)["in_use"] == 0
            )
        )
        with ThreadPoolExecutor(6) as clients:
            statuses = list(
                clients.map(
                    lambda n: (
                        send_request(fleet, f"/geocode/{n}", "wait=700", **{"X-User": f"u{n % 2}"}).status
                    ),
                    range(6),
                )
            )
        assert statuses.count(200) == succeeding, (kind, statuses)


def test_an_ended_contract_ends_allocation(fleet):
    fleet.write(more=["edition 5", "seats geo 1 drain 1s"])
    fleet.hup_all()
    until(lambda: seats_status(fleet).get("seats") == 1 and not seats_status(fleet)["over"])
    fleet.write(more=["edition 6", "seats geo 1 to 2020-01-01"])
    fleet.hup_all()
    until(lambda: send_request(fleet).status == 503)
    assert send_request(fleet, "/plain/1").status == 200
