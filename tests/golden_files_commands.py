"""Describes the command line: names of commands, their options and arguments, choices and defaults."""

from __future__ import annotations

import click

from golden_files import as_json
from indigohitch.cli import main


def describe_parameter(parameter: click.Parameter) -> dict:
    choices = list(parameter.type.choices) if isinstance(parameter.type, click.Choice) else None
    default = parameter.default if isinstance(parameter.default, bool | int | float | str) else None
    kind = parameter.param_type_name
    return {
        "kind": kind,
        "words": list(parameter.opts) if kind == "option" else [],
        "many": parameter.nargs != 1 or parameter.multiple,
        "required": parameter.required,
        "flag": kind == "option" and parameter.is_flag,
        "choices": choices,
        "default": default,
    }


def describe_command(command: click.Command) -> dict:
    description: dict = {"parameters": [describe_parameter(each) for each in command.params]}
    if isinstance(command, click.Group):
        context = click.Context(command)
        names = command.list_commands(context)
        description["commands"] = {
            name: describe_command(command.get_command(context, name)) for name in sorted(names)
        }
    return description


def made() -> dict[str, bytes]:
    return {"command-line.json": as_json(describe_command(main))}
