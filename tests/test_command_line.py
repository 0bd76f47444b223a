"""What the command line says when something is wrong: what, where, and what to do."""

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
    found = CliRunner().invoke(main, list(map(str, words)))
    assert found.exception is None or isinstance(found.exception, SystemExit), found.exception
    return found.exit_code, found.stdout, found.stderr


def lines(form):
    return b"".join(form % n for n in range(5))


def test_a_trouble_is_told_whole():
    bad = DirectorError("it broke", "a.log:3", "mend it")
    assert str(bad) == "a.log:3: it broke (mend it)"
    assert error_fields(bad) == {"why": "it broke", "where": "a.log:3", "remedy": "mend it"}
    full = UnavailableError("no", retry_after_ticks=7)
    assert str(full) == "no" and full.retry_after_ticks == 7
    assert error_fields(OSError(errno.EADDRINUSE, "in use"))["remedy"].startswith("free the address")
    assert error_fields(KeyError("listen"), "mend it") == {"why": "KeyError: 'listen'", "remedy": "mend it"}


@pytest.mark.parametrize(
    "name, data, form",
    [
        ("a.log", lines(COMMON), "common"),
        ("a.log", lines(COMBINED), "combined"),
        ("a.log", lines(JSON), "json"),
        ("a.log", HAR, "har"),
        ("a", b"garbage\n" + lines(COMMON), "common"),
    ],
)
def test_a_log_is_read_as_its_first_lines_are_and_that_is_said(tmp_path, name, data, form):
    source = tmp_path / name
    source.write_bytes(data)
    code, out, err = run("load", "compile", source, "-o", tmp_path / "t")
    assert code == 0 and f"read as {form}, by its first lines" in err
    assert json.loads(out)["requests"] == (1 if form == "har" else 5)
    code, out, err = run("load", "har", source, "-o", tmp_path / "h")
    assert code == 0 and f"read as {form}" in err


def test_a_name_or_an_option_wins_over_the_first_lines(tmp_path):
    source = tmp_path / "a.log"
    source.write_bytes(lines(COMMON))
    code, _, err = run("load", "compile", source, "-o", tmp_path / "t", "--format", "combined")
    assert code == 1 and "no request; 5 lines can't be read as combined\n  --format common reads it" in err
    source.write_bytes(b"no log\nat all\n")
    code, _, err = run("load", "compile", source, "-o", tmp_path / "t")
    assert code == 1 and "2 lines can't be read" in err and "name the format: --format har|json" in err
    assert not (tmp_path / "t").exists()


@pytest.mark.parametrize(
    "words, what, remedy",
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
def test_every_refusal_names_the_place_and_the_remedy(tmp_path, words, what, remedy):
    (tmp_path / "file").write_bytes(b"nothing\n")
    (tmp_path / "plain").write_bytes(b"state /x\n")
    (tmp_path / "control").write_text(f"control {tmp_path / 'socket'}\n")
    (tmp_path / "log").write_bytes(lines(COMMON))
    assert run("load", "compile", tmp_path / "log", "-o", tmp_path / "trace")[0] == 0
    for name in ("file", "out", "trace", "none", "plain", "control", "socket"):
        words, what, remedy = (
            text.replace(name.upper(), str(tmp_path / name)) for text in (words, what, remedy)
        )
    code, out, err = run(*words.split())
    first, *rest = err.splitlines()
    assert code == 1 and not out and what in err and remedy in rest[-1]


def first_line(*words, **environ):
    out = subprocess.run(
        [sys.executable, "-m", "indigohitch", *map(str, words)],
        capture_output=True,
        text=True,
        timeout=20,
        env=os.environ | environ,
    )
    said = [json.loads(line) for line in out.stdout.splitlines()]
    assert out.returncode == 1
    return next(line for line in said if line["event"] == "cannot_start")


def test_a_program_that_cannot_start_says_what_to_do(tmp_path):
    file = tmp_path / "f"
    file.write_text("{}")
    assert "BALANCER_CONFIG" in first_line(BALANCER_CONFIG=str(file))["remedy"]
    with socket.create_server(("127.0.0.1", 0)) as taken:
        file.write_text(TEXT.replace("127.0.0.1:1\n", f"127.0.0.1:{taken.getsockname()[1]}\n"))
        assert first_line("sidecar", file)["remedy"].startswith("free the address")
