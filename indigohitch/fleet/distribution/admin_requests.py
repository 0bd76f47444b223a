"""Parses the control commands `distribute ...` into ledger entries.  No I/O.

{"ask": "distribute set", "services": {"maps": {"m1": "10.0.0.1:80 serving"}}}   sets these, keeps others
{"ask": "distribute replace", "services": {"maps": {...}}}                       sets these, removes others
{"ask": "distribute remove", "services": {"maps": ["m1"]}}                       removes these
"""

from __future__ import annotations

from collections.abc import Mapping

from ...encoding.rows import Row
from ...errors import InvalidRequestError
from .replicated_part import RemoveResources, ReplaceResources, ServiceKeys, ServiceResources, SetResources
from .types import Resource

EXAMPLE_REQUEST = '{"ask": "distribute set", "services": {"maps": {"m1": "10.0.0.1:80 serving"}}}'
COMMANDS = {"set": SetResources, "replace": ReplaceResources, "remove": RemoveResources}


def parse_entry(command: str, services: object) -> Row:
    """Returns the body of the ledger entry; raises InvalidRequestError."""
    row_type = COMMANDS.get(command)
    if row_type is None:
        raise InvalidRequestError(
            f"unknown command: distribute {command[:40]}",
            "",
            f"one of {', '.join(COMMANDS)}, as {EXAMPLE_REQUEST}",
        )
    if not isinstance(services, Mapping) or not services:
        raise InvalidRequestError("the request names no services", "", f"as {EXAMPLE_REQUEST}")
    if row_type is RemoveResources:
        return RemoveResources(
            tuple(ServiceKeys(name, parse_keys(name, keys)) for name, keys in services.items())
        )
    parsed = (ServiceResources(name, parse_resources(name, bodies)) for name, bodies in services.items())
    return row_type(tuple(parsed))


def parse_keys(service: str, keys: object) -> tuple[str, ...]:
    """Returns the keys to remove from one service; raises InvalidRequestError."""
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise InvalidRequestError("expected a list of keys", service, f"as {EXAMPLE_REQUEST}")
    return tuple(keys)


def parse_resources(service: str, bodies: object) -> tuple[Resource, ...]:
    """Returns the resources to set in one service; raises InvalidRequestError."""
    if not isinstance(bodies, Mapping) or not all(isinstance(body, str) for body in bodies.values()):
        raise InvalidRequestError("expected a string for each key", service, f"as {EXAMPLE_REQUEST}")
    return tuple(Resource(key, body.encode()) for key, body in bodies.items())
