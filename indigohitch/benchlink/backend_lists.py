"""Backend lists in the bench protocol, which other messages refer to by number."""

from __future__ import annotations

import msgspec

from .. import interface
from ..settings import ticks_from_ms

_on_wire = msgspec.field  # `name` is the field's name on the wire

_STATE = {"healthy": "ready", "cordoned": "draining", "deregistered": "gone"}


class Entry(msgspec.Struct):
    """One backend in a list."""

    backend: str = _on_wire(name="backend")
    condition: str = _on_wire(name="condition")
    share: float = _on_wire(name="share")
    campus: str = _on_wire(name="campus", default="")
    block: int = _on_wire(name="block", default=0)
    model: str = _on_wire(name="model", default="")
    launched: float = _on_wire(name="launched", default=0.0)


class List(msgspec.Struct):
    """A backend list that later messages refer to by its number, `buffer`."""

    buffer: int = _on_wire(name="buffer")
    members: list[Entry] = _on_wire(name="members", default_factory=list)

    def entries(self) -> tuple[interface.BackendEntry, ...]:
        """Convert the list into entries for the decision module.

        Raises:
            KeyError: The condition of a backend is unknown.
        """
        return tuple(
            interface.BackendEntry(
                member.backend,
                _STATE[member.condition],
                member.share,
                member.campus,
                member.block,
                member.model,
                ticks_from_ms(member.launched),
            )
            for member in self.members
        )
