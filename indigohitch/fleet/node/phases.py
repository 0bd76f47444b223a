"""What a member in a process is at."""

import enum


class Phase(enum.Enum):
    CLOSED = "closed"
    FRESH = "fresh"  # its disk is new: it founds with the others, or asks to be admitted
    TAKING_PART = "taking part"
    LEAVING = "leaving"  # gives its place up, and its incarnation where nothing hangs on that
    BROKEN = "broken"  # met what must never be: it says and promises nothing any more
