"""The command line.

Each command imports only what it needs.  A coordinator with 32 MB of memory starts through
`python -m indigohitch`, which does not import this module.
"""

from __future__ import annotations

import sys

import click

from .errors import REMEDIES, DirectorError


class LazyGroup(click.Group):
    """Imports the command `load` on demand, as only it needs its libraries; prints errors of commands."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands."""
        return sorted([*super().list_commands(ctx), "load"])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Returns the command of this name; `load` is imported here."""
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
    """Returns the location and the problem, and on a second line the remedy, if one is known."""
    if isinstance(error, DirectorError):
        message = error.text()
        remedy = error.remedy
    else:
        message = f"{error.filename}: {error.strerror}" if error.filename and error.strerror else str(error)
        remedy = REMEDIES.get(error.errno, "")
    return message + (f"\n  {remedy}" if remedy else "")


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="indigohitch", prog_name="indigohitch")
def main() -> None:
    """A traffic director for a fleet of sidecars."""


@main.command()
@click.option("--operator", type=click.Path(dir_okay=False), help="Operator's file, which allows upgrades.")
def run(operator: str | None) -> None:
    """Run one coordinator, configured by the file that BALANCER_CONFIG names."""
    if operator is None:
        from .service import main as serve

        sys.exit(serve())
    from . import coordinator

    sys.exit(coordinator.main(operator))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def sidecar(file: str) -> None:
    """Run a sidecar, configured by FILE."""
    from .sidecar import service

    sys.exit(service.main(file))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check FILE, of a sidecar or a coordinator, and list each mistake in it with its line."""
    from .config import either

    config = either.load(file)
    if config.fleet is not None and "batches" in config.fleet.parts:
        from .config.lines import ConfigError
        from .fleet.batches.contract import find_unknown_places

        if mistakes_found := [
            mistake for part in config.fleet.parts["batches"] for mistake in find_unknown_places(part)
        ]:
            raise ConfigError(file, mistakes_found)
    if config.pools:
        summary = (
            f"{len(config.routes.all)} routes, {len(config.rpcs)} RPCs, {len(config.pools)} pools, "
            f"{sum(len(pool.servers) for pool in config.pools.values())} servers"
        )
    else:
        summary = "a coordinator's"
    if config.fleet is not None and config.fleet.services:
        summary = (
            f"{config.fleet.me} subscribes to {len(config.fleet.services)} services "
            f"of fleet {config.fleet.name} at {len(config.fleet.distributors)} distributors"
        )
    elif config.fleet is not None:
        summary += f"; {config.fleet.me} of fleet {config.fleet.name}, {len(config.fleet.members)} members"
    click.echo(f"{file}: {summary}")


@main.command("stand-in")
@click.argument("address")
@click.option("--name", default="stand-in", show_default=True)
@click.option("--service", default=0.0, help="Service time of a response, in ms.", show_default=True)
@click.option(
    "--also", default=0, help="Number of further loopback addresses to listen on, at the same port."
)
@click.option(
    "--lose",
    default=0,
    help="Execute one of every so many RPCs and reset its connection instead of answering.",
)
@click.option("--licensed", multiple=True, help="Path prefix of RPCs that need a seat.")
@click.option("--meter", default="/dev/null", help="File to which starts and ends of their jobs are written.")
def stand_in(
    address: str, name: str, service: float, also: int, lose: int, licensed: tuple[str, ...], meter: str
) -> None:
    """Run a stand-in server on ADDRESS (loopback only), for trials."""
    from .errors import InvalidRequestError
    from .net.connection import parse_address
    from .standins.server import main as serve

    try:
        serve(parse_address(address), name, service, also, lose, licensed, meter)
    except ValueError as error:
        raise InvalidRequestError(str(error), "stand-in", "name an address such as 127.0.0.1:9001") from None


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--wait", default=60.0, help="Seconds to wait for the result.", show_default=True)
def upgrade(file: str, wait: float) -> None:
    """Replace the running program of FILE by its program on disk."""
    print_response(run_command(file, "upgrade", wait))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def status(file: str) -> None:
    """Show the status of the running program of FILE."""
    print_response(run_command(file, "status", 5.0))


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
def snapshot(file: str) -> None:
    """Make the running program of FILE write its state to the path in its line `state`."""
    print_response(run_command(file, "snapshot", 30.0))


def run_command(file: str, command: str, wait: float) -> dict:
    """Returns the response of the running program of the file.  Raises DirectorError, OSError."""
    from .config import either
    from .control import send_command
    from .errors import InvalidRequestError, UnavailableError

    path = either.load(file).single["control"]
    if not path:
        raise InvalidRequestError(
            "no line `control`", file, "add `control /run/...sock` and restart the program"
        )
    try:
        return send_command(path, command, wait)
    except OSError as error:
        raise UnavailableError(
            f"no answer: {error.strerror or error}", path, f"start the program of {file}"
        ) from None


def print_response(response: dict) -> None:
    """Prints the response as JSON and exits: 1 where it has an error, else 0."""
    import orjson

    click.echo(orjson.dumps(response, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS).decode())
    sys.exit(1 if "error" in response else 0)
