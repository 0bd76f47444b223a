"""`indigohitch load ...`"""

from __future__ import annotations

import sys

import click
import orjson

from ..config import sidecar_file
from ..errors import InvalidDataError, InvalidRequestError
from .replay.command import replay
from .timeline import RULES


@click.group("load")
def load() -> None:
    """HAR files and access logs as load."""


@load.command("compile")
@click.argument("sources", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--out", "-o", required=True, type=click.Path(dir_okay=False), help="The trace.")
@click.option(
    "--format",
    "form",
    default="",
    help="har, json, common, combined, a LogFormat; else by its name or first lines.",
)
@click.option(
    "--stamped",
    type=click.Choice(["begin", "end"]),
    default="begin",
    show_default=True,
    help="What the stamps of a log are of.",
)
@click.option("--routes", type=click.Path(dir_okay=False), help="A sidecar's file: which RPC is which.")
@click.option("--without", multiple=True, type=click.Choice(RULES), help="A repair that is not made.")
@click.option("--seed", default=1, show_default=True, help="For the spreading of whole seconds.")
@click.option("--strict", is_flag=True, help="Name every line that can't be read, and exit with 1.")
def compile_(sources, out, form, stamped, routes, without, seed, strict) -> None:
    """Read SOURCES into one trace."""
    from . import kinds
    from .compiling import compiled

    kind = kinds.by_routes(sidecar_file.load(routes).routes) if routes else kinds.by_method
    head, told = compiled(list(sources), out, kind, form, stamped == "end", frozenset(without), seed)
    guesses(told)
    if strict:
        for text in told.unread:
            click.echo(text, err=True)
        if told.counts["unread"] > len(told.unread):
            click.echo(f"and {told.counts['unread'] - len(told.unread)} more", err=True)
    click.echo(
        orjson.dumps(
            {
                "requests": head.count,
                "unsafe": head.unsafe,
                "span_s": head.span / 10_000,
                "unread": told.counts["unread"],
                "repairs": {rule: told.counts[rule] for rule in RULES},
                "noted": {
                    name: count
                    for name, count in sorted(told.counts.items())
                    if name not in (*RULES, "unread")
                },
            },
            option=orjson.OPT_INDENT_2,
        ).decode()
    )
    if strict and told.counts["unread"]:
        sys.exit(1)


def guesses(told) -> None:
    for path in told.guessed:
        click.echo(
            f"{path}: read as {told.formats[path]}, by its first lines; --format names another", err=True
        )


@load.command("show")
@click.argument("trace", type=click.Path(dir_okay=False))
def show(trace: str) -> None:
    """What TRACE holds."""
    import msgspec

    from .trace import Trace

    found = Trace(trace)
    click.echo(
        orjson.dumps(
            msgspec.to_builtins(found.head) | {"identity": found.identity, "blocks": len(found.blocks)},
            option=orjson.OPT_INDENT_2,
        ).decode()
    )


@load.command("shape")
@click.argument("trace", type=click.Path(dir_okay=False))
def shape(trace: str) -> None:
    """Rates, popularity of keys, times between requests and sizes of TRACE, by RPC."""
    from .shape.fit import shape as told
    from .trace import Trace

    found = told(r for _, r in Trace(trace).requests())
    click.echo(orjson.dumps(found, option=orjson.OPT_INDENT_2).decode())


@load.command("scale")
@click.argument("trace", type=click.Path(dir_okay=False))
@click.option("--times", required=True, type=float, help="The rate, times that of TRACE.")
@click.option("--out", "-o", required=True, type=click.Path(dir_okay=False), help="The new trace.")
@click.option("--seed", default=1, show_default=True)
@click.option("--most-apart", default=0.1, show_default=True, help="KS distance past which it is refused.")
def scale(trace: str, times: float, out: str, seed: int, most_apart: float) -> None:
    """TRACE at another rate, as bursty as it was."""
    from .shape.scale import compared, scaled
    from .trace import Trace, write

    source = Trace(trace)
    held = [r for _, r in source.requests()]
    made = list(scaled(held, times, seed))
    told = compared(held, made, times)
    if max(told["ks_gaps"], told["ks_over_time"]) > most_apart:
        raise InvalidRequestError(
            f"{told} is not like it: nothing is written",
            trace,
            "scale a longer trace, or allow more with --most-apart",
        )
    write(out, made, source.head.began, source.head.sources, source.head.counts)
    click.echo(orjson.dumps(told, option=orjson.OPT_INDENT_2).decode())


load.add_command(replay)


@load.command("page")
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
    except (KeyError, ValueError, TypeError) as bad:
        raise InvalidDataError(
            f"no figures of a replay: {type(bad).__name__}: {bad}",
            ", ".join(saved),
            "save them with `load replay --save FILE`",
        ) from None
    with open(out, "w", encoding="utf-8") as file:
        file.write(text)


@load.command("har")
@click.argument("sources", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--out", "-o", required=True, type=click.Path(dir_okay=False), help="The HAR file.")
@click.option("--format", "form", default="", help="As for `compile`.")
@click.option("--base", default="http://localhost", show_default=True, help="What the URLs begin with.")
def har(sources, out, form, base) -> None:
    """Access logs, such as the sidecar's, as one HAR 1.2 file."""
    from .export import exported

    count, told = exported(list(sources), out, form, base.rstrip("/"))
    guesses(told)
    click.echo(f"{count} entries, {told.counts['unread']} lines could not be read")
