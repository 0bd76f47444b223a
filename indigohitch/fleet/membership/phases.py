"""Phases of the membership of a process."""

from __future__ import annotations

import enum


class Phase(enum.StrEnum):
    """Phase of the membership, from the point of view of the process itself."""

    JOINING = "joining"  # has no incarnation
    BEING_COMPARED = "being compared"
    VALID = "valid"  # may act while its lease lasts
    DIFFERS = "differs"  # its state differs from that of the majority: it stops acting and keeps the evidence
    REPLACED = "replaced"  # another process of this name has joined since
    LEFT = "left"
