"""The methods of RPCs, as the settings describe them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Method:
    """A method as the start settings describe it (their entry `methods`)."""

    name: str
    soft_deadline: int
    deadline: int
    criticality: float
    repeat: str  # "idempotent", "tokened" or "non_idempotent"
    dedup_scope: str  # tokened: who drops a duplicate: "all", "zone" or "cell"
    memory_span: int  # tokened: for how long
