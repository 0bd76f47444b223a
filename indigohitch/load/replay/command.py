"""`indigohitch load replay`"""

from __future__ import annotations

import signal
import subprocess
import sys
import time

import click
import orjson

from ...config import sidecar_file, words
from ...errors import DirectorError, InvalidRequestError
from ...net.connection import parse_address


class Span(click.ParamType):
    """`1.5s`, `10m`."""

    name = "span"

    def convert(self, value, param, ctx):
        if isinstance(value, int):
            return value
        try:
            return words.span(value)
        except ValueError as bad:
            self.fail(str(bad), param, ctx)


class Address(click.ParamType):
    name = "host:port"

    def convert(self, value, param, ctx):
        try:
            return value if isinstance(value, tuple) else parse_address(value)
        except ValueError as bad:
            self.fail(str(bad), param, ctx)


@click.command("replay")
@click.argument("trace", type=click.Path(dir_okay=False))
@click.argument("target", type=Address())
@click.option("--speed", default=1.0, show_default=True, help="Times as fast as the trace.")
@click.option("--from", "start", type=Span(), default=0, help="Begin there in the trace.")
@click.option("--to", "end", type=Span(), default=None, help="End there in the trace.")
@click.option("--filter", "filters", multiple=True, help="rpc=, method=, path= or status= with a pattern.")
@click.option("--longest-gap", type=Span(), default=0, help="Longer gaps in the trace are cut to that.")
@click.option("--rate", default=0.0, help="Requests a second at the most, 0: no ceiling.")
@click.option("--connections", default=512, show_default=True, help="At once, at the most.")
@click.option("--processes", default=1, show_default=True, type=click.IntRange(1, 64))
@click.option(
    "--journal",
    default="",
    type=click.Path(dir_okay=False),
    help="Remembers which non-idempotent requests went.",
)
@click.option("--resume", is_flag=True, help="Go on where the journal's replay ended.")
@click.option(
    "--through",
    type=click.Path(dir_okay=False),
    help="TARGET is the sidecar of that file: its servers have to prove to be stand-ins.",
)
@click.option("--allow-target", is_flag=True, help="TARGET may be no stand-in: idempotent requests go there.")
@click.option("--json", "as_json", is_flag=True, help="The report as one line of JSON.")
@click.option("--save", default="", type=click.Path(dir_okay=False), help="All figures, for `load page`.")
@click.option("--shard", default="", hidden=True)
def replay(
    trace,
    target,
    speed,
    start,
    end,
    filters,
    longest_gap,
    rate,
    connections,
    processes,
    journal,
    resume,
    through,
    allow_target,
    as_json,
    save,
    shard,
) -> None:
    """Send TRACE to TARGET, HOST:PORT, as it was recorded."""
    from ..trace import Trace
    from . import running
    from .schedule import Plan, filtered

    found, servers = Trace(trace), [target]
    if through:
        text = sidecar_file.load(through)
        if text.single["listen"] != target:
            raise InvalidRequestError(
                f"its sidecar listens elsewhere than {target[0]}:{target[1]}",
                through,
                "name the address in its line `listen`",
            )
        servers = [s.address for pool in text.pools.values() for s in pool.servers.values()]
    number, of = map(int, shard.split("/")) if shard else (0, processes)
    plan = Plan(speed, start, end, tuple(map(filtered, filters)), longest_gap, number, of)
    if processes > 1 and not shard:
        figures, told = in_processes(processes, running.span(found, plan))
    else:
        wanted = running.Wanted(
            target,
            plan,
            servers,
            allow_target,
            journal,
            resume,
            rate / of,
            max(1, connections // of),
            quiet if shard else progress,
            Together() if shard else stoppable,
        )
        figures, told = running.run(found, wanted)
    if save:
        with open(save, "wb") as file:
            file.write(orjson.dumps({"figures": figures.frozen(), "told": told}))
    if shard:
        click.echo(orjson.dumps({"figures": figures.frozen(), "told": told}).decode())
    elif as_json:
        click.echo(orjson.dumps(figures.told() | told).decode())
    else:
        from ..report.text import text as report

        click.echo(report(figures.told() | told))


def quiet(driver) -> None:
    pass


def progress(driver) -> None:
    if sys.stderr.isatty():
        now = (driver.loop.clock.now() - driver.begin) / 10_000
        click.echo(
            f"\r{now:6.0f} s  sent {driver.figures.late.get_total_count()}  out {len(driver.out)}  "
            f"waiting {len(driver.waiting)}  ",
            nl=False,
            err=True,
        )


def stoppable(driver) -> None:
    """The first Ctrl-C or SIGTERM ends in order, with the report so far."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: driver.stop())


class Together:
    """In a process among several: tells that it is ready, and is told when all begin."""

    def __init__(self) -> None:
        self.told = False

    def __call__(self, driver) -> None:
        stoppable(driver)
        if not self.told:
            self.told = True
            click.echo("ready")
            driver.begin = int(sys.stdin.readline() or 0) or driver.begin


def in_processes(count: int, span: int):
    """The same command line for each, which sends the connections that are its own."""
    from .figures import Figures

    words = [w for w in sys.argv[1:] if w != "--json"]
    for at, word in enumerate(words):
        if word.split("=")[0] == "--save":  # the whole is saved here
            del words[at : at + 1 + ("=" not in word)]
            break
    parts = []
    for number in range(count):
        mine = list(words)
        for at, word in enumerate(mine):
            if word == "--journal":
                mine[at + 1] += f".{number}"
            elif word.startswith("--journal="):
                mine[at] += f".{number}"
        mine += ["--shard", f"{number}/{count}"]
        parts.append(
            subprocess.Popen(
                [sys.executable, "-m", "indigohitch", *mine], stdin=subprocess.PIPE, stdout=subprocess.PIPE
            )
        )
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda got, _: [part.send_signal(got) for part in parts if part.poll() is None])
    for part in parts:
        part.stdout.readline()  # it is ready, or has ended
    begin = round(time.time() * 10_000) + 2000
    for part in parts:
        try:
            with part.stdin as pipe:
                pipe.write(b"%d\n" % begin)
        except BrokenPipeError:
            pass
        part.stdin = None
    figures, told = Figures(span), {"processes": count}
    failed = 0
    for part in parts:
        out = part.communicate()[0]
        failed += part.returncode != 0
        if part.returncode == 0:
            one = orjson.loads(out)
            figures.add(one["figures"])
            for name, value in one["told"].items():
                told[name] = told.get(name, 0) + value if type(value) is int else told.get(name) or value
    if failed:
        raise DirectorError(f"{failed} of {count} processes failed", "", "what they said stands above")
    return figures, told
