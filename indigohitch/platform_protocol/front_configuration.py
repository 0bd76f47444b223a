"""Reads the configuration of a front."""

from __future__ import annotations

from typing import Any, NamedTuple

from .. import interface as face
from ..net.connection import parse_address
from ..settings import parse_settings
from .discovery import parse_backend_list
from .resource_limits import ResourceLimits


class FrontConfiguration(NamedTuple):
    """The parsed configuration of a front."""

    seed: int
    limits: ResourceLimits
    settings: dict[str, Any]  # for the decision module
    load_report_columns: list[str]
    known_backends: face.BackendList
    backend_addresses: dict[str, str]
    store_address: tuple[str, int]
    discovery_address: tuple[str, int]

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> FrontConfiguration:
        """Parse the whole document before any of it takes effect.

        Raises ValueError or KeyError if an entry can't be parsed.
        """
        settings, columns = parse_settings(document["settings"])
        settings["discovery"] = "ask"  # nothing is pushed over sockets, even if the settings say `push`
        known_backends, addresses = parse_backend_list(document["known"], remembered=True)
        return cls(
            int(str(document["seed"]), 16),
            ResourceLimits.from_config(document["limits"]),
            settings,
            columns,
            known_backends,
            addresses,
            parse_address(document["store"]["address"]),
            parse_address(document["discovery"]),
        )
