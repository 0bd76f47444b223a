"""The command line.

Each command imports only what it needs; a coordinator on 32 MB starts through `python -m indigohitch` without
this module.
"""

from __future__ import annotations

import sys

import click

from .errors import REMEDIES, DirectorError


class LazyGroup(click.Group):
    """Imports `load`, whose libraries a coordinator does not need, on demand; shows errors of commands."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return sorted([*super().list_commands(ctx), "load"])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Returns the command of this name; imports that of `load`."""
        if name != "load":
            return super().get_command(ctx, name)
        from .load.command import load

        return load

    def invoke(self, ctx: click.Context) -> object:
        """Runs the command; an error is printed with its remedy, and the exit code is 1."""
        try:
            return super().invoke(ctx)
        except (DirectorError, OSError) as error:
            click.echo(error_text(error), err=True)
            sys.exit(1)


def error_text(error: DirectorError | OSError) -> str:
    """Returns what happened and where, and on a second line the remedy, if one is known."""
    if isinstance(error, DirectorError):
        what = error.text()
        remedy = error.remedy
    else:
        what = f"{error.filename}: {error.strerror}" if error.filename and error.strerror else str(error)
        remedy = REMEDIES.get(error.errno, "")
    return what + (f"\n  {remedy}" if remedy else "")


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
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

    sys.exit(coordinator.main(operator))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def sidecar(file: str) -> None:
    """A sidecar, as FILE says."""
    from .sidecar import service

    sys.exit(service.main(file))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Read FILE, a sidecar's or a coordinator's, and tell all that is wrong with it, each with its line."""
    from .config import either

    text = either.load(file)
    if text.fleet is not None and "batches" in text.fleet.parts:
        from .config.lines import ConfigError
        from .fleet.batches.contract import mistakes

        if found := [mistake for part in text.fleet.parts["batches"] for mistake in mistakes(part)]:
            raise ConfigError(file, found)
    if text.pools:
        summary = (
            f"{len(text.routes.all)} routes, {len(text.rpcs)} RPCs, {len(text.pools)} pools, "
            f"{sum(len(p.servers) for p in text.pools.values())} servers"
        )
    else:
        summary = "a coordinator's"
    if text.fleet is not None and text.fleet.services:
        summary = (
            f"{text.fleet.me} subscribes to {len(text.fleet.services)} services of fleet {text.fleet.name} "
            f"at {len(text.fleet.distributors)} distributors"
        )
    elif text.fleet is not None:
        summary += f"; {text.fleet.me} of fleet {text.fleet.name}, {len(text.fleet.members)} members"
    click.echo(f"{file}: {summary}")


@main.command("stand-in")
@click.argument("address")
@click.option("--name", default="stand-in", show_default=True)
@click.option("--service", default=0.0, help="Time that an answer takes, in ms.", show_default=True)
@click.option("--also", default=0, help="So many further loopback addresses, at the same port.")
@click.option("--lose", default=0, help="Every so many RPCs, act on one and reset instead of answering.")
@click.option("--licensed", multiple=True, help="RPCs whose path begins so need a seat.")
@click.option("--meter", default="/dev/null", help="Where beginnings and ends of their jobs are written.")
def stand_in(
    address: str, name: str, service: float, also: int, lose: int, licensed: tuple[str, ...], meter: str
) -> None:
    """A stand-in server on ADDRESS (loopback only), for trials."""
    from .errors import InvalidRequestError
    from .net.connection import parse_address as read
    from .standins.server import main as serve

    try:
        serve(read(address), name, service, also, lose, licensed, meter)
    except ValueError as bad:
        raise InvalidRequestError(str(bad), "stand-in", "name an address such as 127.0.0.1:9001") from None


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--wait", default=60.0, help="Seconds until no answer is taken for one.", show_default=True)
def upgrade(file: str, wait: float) -> None:
    """Let the program of FILE replace itself by its program on disk as it is now."""
    print_response(run_command(file, "upgrade", wait))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def status(file: str) -> None:
    """What the program of FILE does now."""
    print_response(run_command(file, "status", 5.0))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def snapshot(file: str) -> None:
    """Let the program of FILE write its state to the path in its line `state`."""
    print_response(run_command(file, "snapshot", 30.0))


def run_command(file: str, what: str, wait: float) -> dict:
    """Sends a command to the running program of the file.  Raises DirectorError, OSError."""
    from .config import either
    from .control import send_command
    from .errors import InvalidRequestError, UnavailableError

    path = either.load(file).single["control"]
    if not path:
        raise InvalidRequestError(
            "no line `control`", file, "add `control /run/...sock` and start the program anew"
        )
    try:
        return send_command(path, what, wait)
    except OSError as bad:
        raise UnavailableError(
            f"no answer: {bad.strerror or bad}", path, f"start the program of {file}"
        ) from None


def print_response(response: dict) -> None:
    """Prints the response as JSON and exits: 1 where it has an error, else 0."""
    import orjson

    click.echo(orjson.dumps(response, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS).decode())
    sys.exit(1 if "error" in response else 0)
