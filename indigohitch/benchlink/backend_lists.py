"""Backend lists in the bench protocol, which other messages refer to by number."""

from __future__ import annotations

import msgspec

from .. import interface
from ..settings import ticks_from_ms

_on_wire = msgspec.field  # `name` is the field's name on the wire

_STATE = {"healthy": "ready", "cordoned": "draining", "deregistered": "gone"}


class ListedBackend(msgspec.Struct):
    """One backend in a list."""

    backend: str = _on_wire(name="backend")
    state: str = _on_wire(name="condition")
    weight: float = _on_wire(name="share")
    zone: str = _on_wire(name="campus", default="")
    cell: int = _on_wire(name="block", default=0)
    kind: str = _on_wire(name="model", default="")
    started_at_ms: float = _on_wire(name="launched", default=0.0)


class BackendList(msgspec.Struct):
    """A backend list that later messages refer to by its number."""

    number: int = _on_wire(name="buffer")
    backends: list[ListedBackend] = _on_wire(name="members", default_factory=list)

    def to_entries(self) -> tuple[interface.BackendEntry, ...]:
        """Convert the list into entries for the decision module.

        Raises:
            KeyError: The state of a backend is unknown.
        """
        return tuple(
            interface.BackendEntry(
                listed.backend,
                _STATE[listed.state],
                listed.weight,
                listed.zone,
                listed.cell,
                listed.kind,
                ticks_from_ms(listed.started_at_ms),
            )
            for listed in self.backends
        )
