"""Reads the configuration of a front."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import Any, NamedTuple

from .. import interface as face
from ..logic.update_channel import MAX_PENDING_SHARE, UNACKNOWLEDGED_DRAIN_SHARE
from ..net.connection import parse_address
from ..settings import parse_settings
from .channel_backlog import ChannelBacklog
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


def numeric_setting(settings: Mapping[str, Any], name: str) -> float:
    """Return a setting, or 0, which means no limit, if it is not a number."""
    value = settings.get(name, 0)
    return value if isinstance(value, (int, float)) else 0


def configured_backlog(settings: Mapping[str, Any], proxies: Callable[[], Collection[int]]) -> ChannelBacklog:
    """Return the backlog of the channel to the proxies, with the limits of the settings."""
    return ChannelBacklog(
        numeric_setting(settings, "queue_cap") * MAX_PENDING_SHARE,
        numeric_setting(settings, "lines_per_s") * UNACKNOWLEDGED_DRAIN_SHARE,
        numeric_setting(settings, "envelope"),
        proxies,
    )
