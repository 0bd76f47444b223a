"""The access log of the sidecar: slow and full disks, rotation, and reading by the load tools."""

import json
import os
import signal
import subprocess
import threading
import time

import pytest

from field import Field
from indigohitch.config.lines import ConfigError
from indigohitch.config.sidecar_file import read
from indigohitch.load import trace
from indigohitch.sidecar.access import MAX_QUEUED_LINES, AccessLog
from recorded import LOAD, ROOT
from waiting import eventually


def test_a_slow_or_full_disk_drops_lines_without_delaying_rpcs(tmp_path):
    dropped, disk_released, disk_full = [], threading.Event(), [False]

    def write(file, data):
        disk_released.wait()
        if disk_full[0]:
            raise OSError(28, "No space left on device")
        return os.write(file, data[:5000])  # a short write

    log = AccessLog(str(tmp_path / "a"), "json", lambda: dropped.append(1), write)
    began = time.monotonic()
    for n in range(MAX_QUEUED_LINES + 5000):
        log.add(n, n + 1, "c", "GET", "/x", "r", 200, 1, "")
    assert time.monotonic() - began < 1.0
    assert 4000 < len(dropped) <= 5000  # the thread has taken some lines out of the queue
    disk_released.set()
    eventually(lambda: not log.queue)
    log.close()
    lines = (tmp_path / "a").read_bytes().splitlines()
    assert len(lines) == MAX_QUEUED_LINES + 5000 - len(dropped) and json.loads(lines[-1])["method"] == "GET"
    disk_full[0] = True
    log = AccessLog(str(tmp_path / "b"), "combined", lambda: None, write)
    log.add(0, 1, "c", "GET", "/x", "r", 200, 1, "")
    log.close()
    assert log.failed_line_count == 1


def test_the_configuration_sets_path_and_format_of_the_access_log():
    lines = (
        "listen 127.0.0.1:80\nrpc a idempotent\npool p\nserver s 127.0.0.1:81 pool p\n"
        "route GET /x rpc a pool p\n"
    )
    assert read(lines + "access-log /x/y").single["access-log"] == "/x/y"
    with pytest.raises(ConfigError, match=":6: .*json or combined"):
        read(lines + "access-log-form xml")


@pytest.mark.parametrize("form", ["json", "combined"])
def test_the_load_tools_read_what_the_sidecar_logged(tmp_path, form):
    log = tmp_path / "access.log"
    field = Field(tmp_path, more=[f"access-log {log}", f"access-log-form {form}"])
    try:
        field.start()
        for n in range(5):
            assert field.get(f"/vacancies/{n}?q=%22x").status == 200
        assert field.get("/places/7/reserve", "POST", b"{}", id="r1").status == 200
        assert field.get("/nowhere").status == 404
        os.rename(log, tmp_path / "moved")  # rotated by the operator
        field.process.send_signal(signal.SIGHUP)
        eventually(log.exists)
        field.get("/vacancies/9")
    finally:
        field.process.terminate()
        field.process.wait()
        field.close()
    out = subprocess.run(
        [
            *LOAD,
            "compile",
            str(tmp_path / "moved"),
            str(log),
            "-o",
            str(tmp_path / "t"),
            "--format",
            form,
            "--routes",
            str(field.file),
            "--strict",
        ],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=True,
    )
    assert json.loads(out.stdout)["requests"] == 8
    requests = [r for _, r in trace.Trace(str(tmp_path / "t")).requests()]
    assert [r.target for r in requests if r.status == 404] == ["/nowhere"]
    assert sorted(r.rpc for r in requests if r.unsafe) == ["place-reserve"]
    assert sum(r.target.endswith("?q=%22x") for r in requests) == 5 and {r.status for r in requests} == {
        200,
        404,
    }
