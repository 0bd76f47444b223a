"""Phases of a member in its process."""

import enum


class Phase(enum.Enum):
    """Phase of a node."""

    CLOSED = "closed"
    FRESH = "fresh"  # its disk is new: it bootstraps with the others, or requests to join
    TAKING_PART = "taking part"
    LEAVING = "leaving"  # gives its leadership up, and its incarnation where nothing depends on that
    BROKEN = "broken"  # an invariant is violated: it sends and promises nothing any more
