"""Phases of a dialled link."""

from __future__ import annotations

import enum


class Phase(enum.Enum):
    """Phase of a dialled link, as `status` shows it."""

    DISCONNECTED = "resting"  # dials at the next due time
    DIALLING = "dialling"
    HANDSHAKING = "greeting"  # connected; the peer has not replied to the handshake yet
    OPEN = "open"
    CLOSED = "closed"  # permanently
