"""The phases of a node."""

import enum


class Phase(enum.Enum):
    """The phase of a node; the values are shown in the log and by `status`."""

    CLOSED = "closed"
    FRESH = "fresh"  # its disk is new: it bootstraps with the other voters, or requests to join
    TAKING_PART = "taking part"
    LEAVING = "leaving"  # it transfers its leadership, and releases its incarnation if no work depends on it
    BROKEN = "broken"  # stopped after an error: it sends no messages and acknowledges nothing
