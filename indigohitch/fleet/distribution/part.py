"""The part `distribution` of the book: services and their resources, as operators and discovery set them.
Deterministic, no I/O."""

from __future__ import annotations

from ...packed.rows import Row
from .terms import Resource, ServiceName


class ServiceResources(Row, frozen=True):
    service: ServiceName
    resources: tuple[Resource, ...]


class ServiceKeys(Row, frozen=True):
    service: ServiceName
    keys: tuple[str, ...]


class Set(Row, frozen=True):
    """`distribution.set`: these resources stand as given; all others stay."""

    services: tuple[ServiceResources, ...]


class Remove(Row, frozen=True):
    """`distribution.remove`: these resources go, where they are."""

    services: tuple[ServiceKeys, ...]


class Replace(Row, frozen=True):
    """`distribution.replace`: these services hold what is given and nothing else; without any they go."""

    services: tuple[ServiceResources, ...]
