"""Lists of backends on the bench's wire, which other lines refer to by number."""

from __future__ import annotations

import msgspec

from .. import interface
from ..settings import ticks_from_ms

_on_wire = msgspec.field  # _on_wire(name="..."): a field's name on the wire

_STATE = {"healthy": "ready", "cordoned": "draining", "deregistered": "gone"}


class Entry(msgspec.Struct):
    """One backend of a list."""

    backend: str = _on_wire(name="backend")
    condition: str = _on_wire(name="condition")
    share: float = _on_wire(name="share")
    campus: str = _on_wire(name="campus", default="")
    block: int = _on_wire(name="block", default=0)
    model: str = _on_wire(name="model", default="")
    launched: float = _on_wire(name="launched", default=0.0)


class List(msgspec.Struct):
    """A list of backends that later lines name by its number."""

    buffer: int = _on_wire(name="buffer")
    members: list[Entry] = _on_wire(name="members", default_factory=list)

    def entries(self) -> tuple[interface.BackendEntry, ...]:
        """The backends as the decision module takes them. Raises KeyError for an unknown condition."""
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
