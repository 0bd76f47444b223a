"""The command line.  Each command imports what it needs, no more: a coordinator on 32 MB starts through
`python -m indigohitch` without this file."""
from __future__ import annotations

import sys

import click


class Lazy(click.Group):
    """`load` needs libraries that a coordinator does without: imported once it is asked for."""

    def list_commands(self, ctx):
        return sorted([*super().list_commands(ctx), "load"])

    def get_command(self, ctx, name):
        if name != "load":
            return super().get_command(ctx, name)
        from .load.command import load
        return load


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="indigohitch", prog_name="indigohitch")
def main() -> None:
    """A traffic director for a fleet of sidecars."""


@main.command()
@click.option("--operator", type=click.Path(dir_okay=False), help="A file that allows upgrades.")
def run(operator: str | None) -> None:
    """One coordinator, told by BALANCER_CONFIG what it serves."""
    if operator is None:
        from .service import main as serve
        sys.exit(serve())
    from . import coordinator
    from .sidecar import conf
    try:
        sys.exit(coordinator.main(operator))
    except (conf.Mistakes, OSError) as bad:
        refuse(str(bad))


def refuse(text: str) -> None:
    click.echo(text, err=True)
    sys.exit(1)


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def sidecar(file: str) -> None:
    """A sidecar, as FILE says."""
    from .sidecar import conf, service
    try:
        sys.exit(service.main(file))
    except (conf.Mistakes, OSError) as bad:
        refuse(str(bad))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Read FILE and tell all that is wrong with it, each with its line."""
    from .sidecar import conf
    try:
        text = conf.load(file)
    except (conf.Mistakes, OSError) as bad:
        refuse(str(bad))
    click.echo(f"{file}: {len(text.routes.all)} routes, {len(text.rpcs)} RPCs, {len(text.pools)} pools, "
               f"{sum(len(p.servers) for p in text.pools.values())} servers")


@main.command("stand-in")
@click.argument("address")
@click.option("--name", default="stand-in", show_default=True)
@click.option("--service", default=0.0, help="Time that an answer takes, in ms.", show_default=True)
@click.option("--also", default=0, help="So many further loopback addresses, at the same port.")
@click.option("--lose", default=0, help="Every so many RPCs, act on one and reset instead of answering.")
def stand_in(address: str, name: str, service: float, also: int, lose: int) -> None:
    """A stand-in server on ADDRESS (loopback only), for trials."""
    from .net.connection import address as read
    from .standins.server import main as serve
    try:
        serve(read(address), name, service, also, lose)
    except (ValueError, OSError) as bad:
        refuse(str(bad))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--wait", default=60.0, help="Seconds until no answer is taken for one.", show_default=True)
def upgrade(file: str, wait: float) -> None:
    """Let the sidecar of FILE replace itself by its program on disk as it is now."""
    tell(asked(file, "upgrade", wait))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def status(file: str) -> None:
    """What the sidecar of FILE does now."""
    tell(asked(file, "status", 5.0))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def snapshot(file: str) -> None:
    """Let the sidecar of FILE write its state to the path in its line `state`."""
    tell(asked(file, "snapshot", 30.0))


def control_of(file: str) -> str:
    """Of a sidecar's file, or of a coordinator's."""
    from .sidecar import conf
    try:
        return conf.load_operator(file).single["control"]
    except conf.Mistakes:
        return conf.load(file).single["control"]


def asked(file: str, what: str, wait: float) -> dict:
    from .control import ask
    from .sidecar import conf
    try:
        path = control_of(file)
        if not path:
            refuse(f"{file}: no line `control`")
        return ask(path, what, wait)
    except (conf.Mistakes, OSError, ValueError) as bad:
        refuse(str(bad))


def tell(found: dict) -> None:
    import orjson
    click.echo(orjson.dumps(found, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS).decode())
    sys.exit(1 if "error" in found else 0)
