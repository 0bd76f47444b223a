"""RPC methods as the settings describe them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Method:
    """Describes an RPC method, from the entry `methods` of the start settings."""

    name: str
    soft_deadline: int
    deadline: int
    criticality: float
    repeat: str  # "idempotent", "tokened" or "non_idempotent"
    dedup_scope: str  # tokened: where a duplicate is dropped: "all", "zone" or "cell"
    memory_span: int  # tokened: ticks for which a duplicate is dropped
