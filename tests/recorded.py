"""Requests and traces made by hand, and the command that reads them."""

import sys
from pathlib import Path

from indigohitch.load import trace
from indigohitch.load.entry import Request

ROOT = Path(__file__).parent.parent


LOAD = [sys.executable, "-m", "indigohitch", "load"]


def request(n, at, unsafe=False, connection=0, target="/vacancies/1", rpc="search"):
    method = "POST" if unsafe else "GET"
    return Request(at, method, target, "reserve" if unsafe else rpc, unsafe, connection, 0, n + 1)


def made(tmp_path, requests, name="t"):
    path = str(tmp_path / name)
    trace.write(path, requests, 0, ["a.log"], {})
    return path
