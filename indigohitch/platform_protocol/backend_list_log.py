"""What the log tells of a list of backends that was heard."""

from __future__ import annotations

from collections.abc import Mapping

from .. import interface as face
from ..log import Log

TOLD = 20  # backends in one line


def log_list(log: Log, held: Mapping[str, face.BackendEntry], news: face.BackendList) -> None:
    """Tells which states differ from the list `held` so far; nothing of a call that failed."""
    if news.scope == "failed":
        return
    turned = {
        entry.backend: entry.state
        for entry in news.entries
        if entry.backend not in held or held[entry.backend].state != entry.state
    }
    log.event(
        "backend_list_received",
        generation=news.version,
        scope=news.scope,
        entries=len(news.entries),
        turned=dict(list(turned.items())[:TOLD]),
        turned_in_all=len(turned),
    )
