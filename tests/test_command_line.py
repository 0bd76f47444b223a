"""Errors of the command line: each states the problem, its location and the remedy."""

import errno
import json
import os
import socket
import subprocess
import sys

import pytest
from click.testing import CliRunner

from indigohitch.cli import main
from indigohitch.errors import DirectorError, UnavailableError, error_fields
from test_directives import TEXT

COMMON = b'10.0.0.1 - - [10/Oct/2025:13:55:36 +0000] "GET /a/%d HTTP/1.1" 200 23\n'
COMBINED = COMMON[:-1] + b' "-" "curl"\n'
JSON = b'{"ms":176010453%d000.0,"method":"GET","target":"/a"}\n'
HAR = (
    b'{"log": {"entries": [{"startedDateTime": "2025-10-10T13:55:36Z", "time": 1, "request": '
    b'{"method": "GET", "url": "http://x/a"}, "response": {}}]}}'
)


def run(*words):
    result = CliRunner().invoke(main, list(map(str, words)))
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.stdout, result.stderr


def five_lines(form):
    return b"".join(form % number for number in range(5))


def test_errors_show_problem_location_and_remedy():
    error = DirectorError("it broke", "a.log:3", "mend it")
    assert str(error) == "a.log:3: it broke (mend it)"
    assert error_fields(error) == {"why": "it broke", "where": "a.log:3", "remedy": "mend it"}
    unavailable = UnavailableError("no", retry_after_ticks=7)
    assert str(unavailable) == "no" and unavailable.retry_after_ticks == 7
    assert error_fields(OSError(errno.EADDRINUSE, "in use"))["remedy"].startswith("free the address")
    assert error_fields(KeyError("listen"), "mend it") == {"why": "KeyError: 'listen'", "remedy": "mend it"}


@pytest.mark.parametrize(
    "name, data, form",
    [
        ("a.log", five_lines(COMMON), "common"),
        ("a.log", five_lines(COMBINED), "combined"),
        ("a.log", five_lines(JSON), "json"),
        ("a.log", HAR, "har"),
        ("a", b"garbage\n" + five_lines(COMMON), "common"),
    ],
)
def test_log_format_is_detected_from_the_first_lines_and_reported(tmp_path, name, data, form):
    source = tmp_path / name
    source.write_bytes(data)
    code, out, err = run("load", "compile", source, "-o", tmp_path / "t")
    assert code == 0 and f"read as {form}, by its first lines" in err
    assert json.loads(out)["requests"] == (1 if form == "har" else 5)
    code, out, err = run("load", "har", source, "-o", tmp_path / "h")
    assert code == 0 and f"read as {form}" in err


def test_an_explicit_format_wins_over_detection_and_unknown_lines_are_refused(tmp_path):
    source = tmp_path / "a.log"
    source.write_bytes(five_lines(COMMON))
    code, _, err = run("load", "compile", source, "-o", tmp_path / "t", "--format", "combined")
    assert code == 1 and "no request; 5 lines can't be read as combined\n  --format common reads it" in err
    source.write_bytes(b"no log\nat all\n")
    code, _, err = run("load", "compile", source, "-o", tmp_path / "t")
    assert code == 1 and "2 lines can't be read" in err and "name the format: --format har|json" in err
    assert not (tmp_path / "t").exists()


@pytest.mark.parametrize(
    "words, problem, remedy",
    [
        ("load show FILE", "FILE: no trace", "compile it anew"),
        ("load page FILE -o OUT", "FILE: no figures of a replay", "--save"),
        ("load compile FILE -o OUT --format %a", "names no request", "a LogFormat"),
        ("load compile FILE -o OUT --format %{", "can't be read", "a LogFormat"),
        ("load scale TRACE --times 0 -o OUT", "0.0 times the rate", "above 0"),
        ("load replay TRACE 10.0.0.1:8", "10.0.0.1: the target is not on loopback", "--allow-target"),
        ("load replay TRACE 127.0.0.1:1 --speed 0", "a speed of 0.0", "above 0"),
        ("check FILE", "FILE:1: unknown word 'nothing'", "docs/sidecar.md"),
        ("check NONE", "NONE: No such file", "name an existing one"),
        ("status PLAIN", "PLAIN: no line `control`", "add `control"),
        ("status CONTROL", "SOCKET: no answer", "start the program of CONTROL"),
    ],
)
def test_every_error_names_the_location_and_the_remedy(tmp_path, words, problem, remedy):
    (tmp_path / "file").write_bytes(b"nothing\n")
    (tmp_path / "plain").write_bytes(b"state /x\n")
    (tmp_path / "control").write_text(f"control {tmp_path / 'socket'}\n")
    (tmp_path / "log").write_bytes(five_lines(COMMON))
    assert run("load", "compile", tmp_path / "log", "-o", tmp_path / "trace")[0] == 0
    for name in ("file", "out", "trace", "none", "plain", "control", "socket"):
        words, problem, remedy = (
            text.replace(name.upper(), str(tmp_path / name)) for text in (words, problem, remedy)
        )
    code, out, err = run(*words.split())
    first, *rest = err.splitlines()
    assert code == 1 and not out and problem in err and remedy in rest[-1]


def cannot_start_event(*words, **environ):
    result = subprocess.run(
        [sys.executable, "-m", "indigohitch", *map(str, words)],
        capture_output=True,
        text=True,
        timeout=20,
        env=os.environ | environ,
    )
    events = [json.loads(line) for line in result.stdout.splitlines()]
    assert result.returncode == 1
    return next(event for event in events if event["event"] == "cannot_start")


def test_a_failed_start_logs_a_remedy(tmp_path):
    file = tmp_path / "f"
    file.write_text("{}")
    assert "BALANCER_CONFIG" in cannot_start_event(BALANCER_CONFIG=str(file))["remedy"]
    with socket.create_server(("127.0.0.1", 0)) as taken:
        file.write_text(TEXT.replace("127.0.0.1:1\n", f"127.0.0.1:{taken.getsockname()[1]}\n"))
        assert cannot_start_event("sidecar", file)["remedy"].startswith("free the address")
