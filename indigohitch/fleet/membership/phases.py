"""Phases of a member in its process."""

from __future__ import annotations

import enum


class Phase(enum.StrEnum):
    """What this process takes itself for."""

    JOINING = "joining"  # has no incarnation
    COMPARED = "being compared"
    VALID = "valid"  # may act while its lease lasts
    DIFFERS = "differs"  # its state isn't the others': it acts no more, and keeps the evidence
    REPLACED = "replaced"  # another process of this name has joined later
    LEFT = "left"
