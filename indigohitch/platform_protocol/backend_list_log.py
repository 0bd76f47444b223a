"""Logs the lists of backends that discovery sends."""

from __future__ import annotations

from collections.abc import Mapping

from .. import interface as face
from ..log import Log

MAX_LOGGED_BACKENDS = 20  # per log line


def log_list(log: Log, entries: Mapping[str, face.BackendEntry], update: face.BackendList) -> None:
    """Log which backends of a list have another state than in the current `entries`.

    A failed request is not logged.
    """
    if update.scope == "failed":
        return
    changed_states = {
        entry.backend: entry.state
        for entry in update.entries
        if entry.backend not in entries or entries[entry.backend].state != entry.state
    }
    log.event(
        "backend_list_received",
        generation=update.version,
        scope=update.scope,
        entries=len(update.entries),
        turned=dict(list(changed_states.items())[:MAX_LOGGED_BACKENDS]),
        turned_in_all=len(changed_states),
    )
