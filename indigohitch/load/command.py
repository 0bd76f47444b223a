"""`indigohitch load ...`"""
from __future__ import annotations

import signal
import subprocess
import sys
import time

import click
import orjson

from ..directives import sidecar_file, words
from ..directives.lines import Mistakes
from ..directives.texts import Text
from ..net.connection import address
from .timeline import RULES


def refuse(text: str) -> None:
    click.echo(text, err=True)
    sys.exit(1)


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


def text_of(path: str) -> Text:
    try:
        return sidecar_file.load(path)
    except (Mistakes, OSError) as bad:
        refuse(str(bad))


@click.group()
def load() -> None:
    """HAR files and access logs as load."""


@load.command("compile")
@click.argument("sources", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--out", "-o", required=True, type=click.Path(dir_okay=False), help="The trace.")
@click.option("--format", "form", default="", help="har, json, common, combined, a LogFormat; else by name.")
@click.option("--stamped", type=click.Choice(["begin", "end"]), default="begin", show_default=True,
              help="What the stamps of a log are of.")
@click.option("--routes", type=click.Path(dir_okay=False), help="A sidecar's file: which RPC is which.")
@click.option("--without", multiple=True, type=click.Choice(RULES), help="A repair that is not made.")
@click.option("--seed", default=1, show_default=True, help="For the spreading of whole seconds.")
@click.option("--strict", is_flag=True, help="Name every line that can't be read, and exit with 1.")
def compile_(sources, out, form, stamped, routes, without, seed, strict) -> None:
    """Read SOURCES into one trace."""
    from . import kinds
    from .compiling import NothingRead, compiled
    kind = kinds.by_routes(text_of(routes).routes) if routes else kinds.by_method
    try:
        head, told = compiled(list(sources), out, kind, form, stamped == "end", frozenset(without), seed)
    except (OSError, NothingRead, ValueError) as bad:
        refuse(str(bad))
    if strict:
        for text in told.unread:
            click.echo(text, err=True)
        if told.counts["unread"] > len(told.unread):
            click.echo(f"and {told.counts['unread'] - len(told.unread)} more", err=True)
    click.echo(orjson.dumps(
        {"requests": head.count, "unsafe": head.unsafe, "span_s": head.span / 10_000,
         "unread": told.counts["unread"], "repairs": {rule: told.counts[rule] for rule in RULES},
         "noted": {name: count for name, count in sorted(told.counts.items())
                   if name not in (*RULES, "unread")}}, option=orjson.OPT_INDENT_2).decode())
    if strict and told.counts["unread"]:
        sys.exit(1)


@load.command()
@click.argument("trace", type=click.Path(dir_okay=False))
def show(trace: str) -> None:
    """What TRACE holds."""
    import msgspec
    found = opened(trace)
    click.echo(orjson.dumps(msgspec.to_builtins(found.head) | {"identity": found.identity,
                                                              "blocks": len(found.blocks)},
                            option=orjson.OPT_INDENT_2).decode())


def opened(path: str):
    from .trace import Damaged, Trace
    try:
        return Trace(path)
    except (OSError, Damaged) as bad:
        refuse(str(bad))


@load.command()
@click.argument("trace", type=click.Path(dir_okay=False))
def shape(trace: str) -> None:
    """Rates, popularity of keys, times between requests and sizes of TRACE, by RPC."""
    from .shape.fit import shape as told
    found = told(r for _, r in opened(trace).requests())
    click.echo(orjson.dumps(found, option=orjson.OPT_INDENT_2).decode())


@load.command()
@click.argument("trace", type=click.Path(dir_okay=False))
@click.option("--times", required=True, type=float, help="The rate, times that of TRACE.")
@click.option("--out", "-o", required=True, type=click.Path(dir_okay=False), help="The new trace.")
@click.option("--seed", default=1, show_default=True)
@click.option("--most-apart", default=0.1, show_default=True, help="KS distance past which it is refused.")
def scale(trace: str, times: float, out: str, seed: int, most_apart: float) -> None:
    """TRACE at another rate, as bursty as it was."""
    from .shape.scale import compared, scaled
    from .trace import write
    source = opened(trace)
    held = [r for _, r in source.requests()]
    try:
        made = list(scaled(held, times, seed))
        told = compared(held, made, times)
        if max(told["ks_gaps"], told["ks_over_time"]) > most_apart:
            refuse(f"{told} is not like {trace}: nothing is written")
        write(out, made, source.head.began, source.head.sources, source.head.counts)
    except (OSError, ValueError) as bad:
        refuse(str(bad))
    click.echo(orjson.dumps(told, option=orjson.OPT_INDENT_2).decode())


@load.command()
@click.argument("trace", type=click.Path(dir_okay=False))
@click.argument("target")
@click.option("--speed", default=1.0, show_default=True, help="Times as fast as the trace.")
@click.option("--from", "start", type=Span(), default=0, help="Begin there in the trace.")
@click.option("--to", "end", type=Span(), default=None, help="End there in the trace.")
@click.option("--filter", "filters", multiple=True, help="rpc=, method=, path= or status= with a pattern.")
@click.option("--longest-gap", type=Span(), default=0, help="Longer gaps in the trace are cut to that.")
@click.option("--rate", default=0.0, help="Requests a second at the most, 0: no ceiling.")
@click.option("--connections", default=512, show_default=True, help="At once, at the most.")
@click.option("--processes", default=1, show_default=True, type=click.IntRange(1, 64))
@click.option("--journal", default="", type=click.Path(dir_okay=False),
              help="Remembers which non-idempotent requests went.")
@click.option("--resume", is_flag=True, help="Go on where the journal's replay ended.")
@click.option("--through", type=click.Path(dir_okay=False),
              help="TARGET is the sidecar of that file: its servers have to prove to be stand-ins.")
@click.option("--allow-target", is_flag=True, help="TARGET may be no stand-in: idempotent requests go there.")
@click.option("--json", "as_json", is_flag=True, help="The report as one line of JSON.")
@click.option("--save", default="", type=click.Path(dir_okay=False), help="All figures, for `load page`.")
@click.option("--shard", default="", hidden=True)
@click.option("--begin", default=0, hidden=True)
def replay(trace, target, speed, start, end, filters, longest_gap, rate, connections, processes, journal,
           resume, through, allow_target, as_json, save, shard, begin) -> None:
    """Send TRACE to TARGET, HOST:PORT, as it was recorded."""
    from .replay import running
    from .replay.journal import Unusable
    from .replay.safety import Refused
    from .replay.schedule import Plan, filtered
    from .trace import Damaged, Trace
    try:
        found, to = Trace(trace), address(target)
        servers = [to]
        if through:
            text = text_of(through)
            if text.single["listen"] != to:
                refuse(f"{through}: its sidecar listens elsewhere than {target}")
            servers = [s.address for pool in text.pools.values() for s in pool.servers.values()]
        number, of = map(int, shard.split("/")) if shard else (0, processes)
        plan = Plan(speed, start, end, tuple(map(filtered, filters)), longest_gap, number, of)
        if processes > 1 and not shard:
            figures, told = in_processes(processes, running.span(found, plan))
        else:
            wanted = running.Wanted(to, plan, servers, allow_target, journal, resume, rate / of,
                                    max(1, connections // of), begin, quiet if shard else progress, stoppable)
            figures, told = running.run(found, wanted)
    except (OSError, Damaged, Refused, Unusable, ValueError) as bad:
        refuse(str(bad))
    if save:
        with open(save, "wb") as file:
            file.write(orjson.dumps({"figures": figures.frozen(), "told": told}))
    if shard:
        click.echo(orjson.dumps({"figures": figures.frozen(), "told": told}).decode())
    elif as_json:
        click.echo(orjson.dumps(figures.told() | told).decode())
    else:
        from .report.text import text as report
        click.echo(report(figures.told() | told))


def quiet(driver) -> None:
    pass


def progress(driver) -> None:
    if sys.stderr.isatty():
        now = (driver.loop.clock.now() - driver.begin) / 10_000
        click.echo(f"\r{now:6.0f} s  sent {driver.figures.late.get_total_count()}  out {len(driver.out)}  "
                   f"waiting {len(driver.waiting)}  ", nl=False, err=True)


def stoppable(driver) -> None:
    """The first Ctrl-C or SIGTERM ends in order, with the report so far."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: driver.stop())


def in_processes(count: int, span: int):
    """The same command line for each, which sends the connections that are its own."""
    from .replay.figures import Figures
    begin = round(time.time() * 10_000) + 15_000            # by then all of them have started
    words = [w for w in sys.argv[1:] if w != "--json"]
    for at, word in enumerate(words):
        if word.split("=")[0] == "--save":      # the whole is saved here
            del words[at:at + 1 + ("=" not in word)]
            break
    parts = []
    for number in range(count):
        mine = list(words)
        for at, word in enumerate(mine):
            if word == "--journal":
                mine[at + 1] += f".{number}"
            elif word.startswith("--journal="):
                mine[at] += f".{number}"
        mine += ["--shard", f"{number}/{count}", "--begin", str(begin)]
        parts.append(subprocess.Popen([sys.executable, "-m", "indigohitch", *mine], stdout=subprocess.PIPE))
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda got, _: [part.send_signal(got) for part in parts if part.poll() is None])
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
        raise ValueError(f"{failed} of {count} processes failed")
    return figures, told


@load.command()
@click.argument("saved", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--out", "-o", required=True, type=click.Path(dir_okay=False), help="The page, HTML.")
@click.option("--title", default="Replay", show_default=True)
def page(saved, out, title) -> None:
    """One page with plots of one replay, or of two beside each other, that were SAVED."""
    from .report.page import page as made
    try:
        runs = []
        for path in saved:
            with open(path, "rb") as file:
                runs.append((path.rsplit("/", 1)[-1], orjson.loads(file.read())))
        text = made(title, runs)
        with open(out, "w", encoding="utf-8") as file:
            file.write(text)
    except (OSError, KeyError, ValueError, TypeError) as bad:
        refuse(f"{type(bad).__name__}: {bad}")


@load.command()
@click.argument("sources", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--out", "-o", required=True, type=click.Path(dir_okay=False), help="The HAR file.")
@click.option("--format", "form", default="", help="As for `compile`.")
@click.option("--base", default="http://localhost", show_default=True, help="What the URLs begin with.")
def har(sources, out, form, base) -> None:
    """Access logs, such as the sidecar's, as one HAR 1.2 file."""
    from .compiling import NothingRead
    from .export import exported
    try:
        count, unread = exported(list(sources), out, form, base.rstrip("/"))
    except (OSError, NothingRead, ValueError) as bad:
        refuse(str(bad))
    click.echo(f"{count} entries, {unread} lines could not be read")
