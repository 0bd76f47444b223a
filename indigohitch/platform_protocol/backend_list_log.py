"""Log entry for a received list of backends."""

from __future__ import annotations

from collections.abc import Mapping

from .. import interface as face
from ..log import Log

MAX_LOGGED_BACKENDS = 20  # backends in one line


def log_list(log: Log, entries: Mapping[str, face.BackendEntry], update: face.BackendList) -> None:
    """Log which states differ from the current `entries`; a failed request is not logged."""
    if update.scope == "failed":
        return
    turned = {
        entry.backend: entry.state
        for entry in update.entries
        if entry.backend not in entries or entries[entry.backend].state != entry.state
    }
    log.event(
        "backend_list_received",
        generation=update.version,
        scope=update.scope,
        entries=len(update.entries),
        turned=dict(list(turned.items())[:MAX_LOGGED_BACKENDS]),
        turned_in_all=len(turned),
    )
