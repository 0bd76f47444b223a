"""Parses the control commands `distribute ...` into entries of the ledger.  No I/O.

{"ask": "distribute set", "services": {"maps": {"m1": "10.0.0.1:80 serving"}}}   sets these, keeps others
{"ask": "distribute replace", "services": {"maps": {...}}}                       removes all others
{"ask": "distribute remove", "services": {"maps": ["m1"]}}                       removes these
"""

from __future__ import annotations

from collections.abc import Mapping

from ...encoding.rows import Row
from ...errors import InvalidRequestError
from .replicated_part import RemoveResources, ReplaceResources, ServiceKeys, ServiceResources, SetResources
from .types import Resource

FORM = '{"ask": "distribute set", "services": {"maps": {"m1": "10.0.0.1:80 serving"}}}'
COMMANDS = {"set": SetResources, "replace": ReplaceResources, "remove": RemoveResources}


def parse_entry(command: str, services: object) -> Row:
    """Returns the body of the entry; raises InvalidRequestError."""
    row_type = COMMANDS.get(command)
    if row_type is None:
        raise InvalidRequestError(
            f"no such word: distribute {command[:40]}", "", f"one of {', '.join(COMMANDS)}, as {FORM}"
        )
    if not isinstance(services, Mapping) or not services:
        raise InvalidRequestError("no services are named", "", f"as {FORM}")
    if row_type is RemoveResources:
        return RemoveResources(
            tuple(ServiceKeys(name, parse_keys(name, keys)) for name, keys in services.items())
        )
    found = (ServiceResources(name, parse_resources(name, given)) for name, given in services.items())
    return row_type(tuple(found))


def parse_keys(service: str, keys: object) -> tuple[str, ...]:
    """Returns the keys of one service that are to be removed; raises InvalidRequestError."""
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise InvalidRequestError("a list of keys is wanted", service, f"as {FORM}")
    return tuple(keys)


def parse_resources(service: str, given: object) -> tuple[Resource, ...]:
    """Returns the resources of one service; raises InvalidRequestError."""
    if not isinstance(given, Mapping) or not all(isinstance(body, str) for body in given.values()):
        raise InvalidRequestError("a text for each key is wanted", service, f"as {FORM}")
    return tuple(Resource(key, body.encode()) for key, body in given.items())
