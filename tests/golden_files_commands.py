"""The command line: names of commands, their options and arguments, choices and defaults."""

from __future__ import annotations

import click

from golden_files import as_json
from indigohitch.cli import main


def parameter(one: click.Parameter) -> dict:
    choices = list(one.type.choices) if isinstance(one.type, click.Choice) else None
    default = one.default if isinstance(one.default, bool | int | float | str) else None
    kind = one.param_type_name
    return {
        "kind": kind,
        "words": list(one.opts) if kind == "option" else [],
        "many": one.nargs != 1 or one.multiple,
        "required": one.required,
        "flag": kind == "option" and one.is_flag,
        "choices": choices,
        "default": default,
    }


def command(one: click.Command) -> dict:
    found: dict = {"parameters": [parameter(each) for each in one.params]}
    if isinstance(one, click.Group):
        context = click.Context(one)
        names = one.list_commands(context)
        found["commands"] = {name: command(one.get_command(context, name)) for name in sorted(names)}
    return found


def made() -> dict[str, bytes]:
    return {"command-line.json": as_json(command(main))}
