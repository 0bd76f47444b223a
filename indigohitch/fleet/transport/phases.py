"""Phases of a dialled link."""

from __future__ import annotations

import enum


class Phase(enum.Enum):
    """Phase of a dialled link."""

    RESTING = "resting"
    DIALLING = "dialling"
    GREETING = "greeting"  # connected; the other end has not replied to the handshake
    OPEN = "open"
    CLOSED = "closed"
