"""How many descriptors this process may have open."""

from __future__ import annotations

import resource


def raise_file_limit(wanted: int) -> int:
    """Raises the soft limit to that number, or as far as the hard one goes; returns what is allowed."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return wanted if soft == resource.RLIM_INFINITY else soft
    most = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    return most
