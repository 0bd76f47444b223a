"""The limit on open file descriptors of this process."""

from __future__ import annotations

import resource


def raise_file_limit(needed: int) -> int:
    """Raises the soft limit to `needed` or to the hard limit; returns the limit now in effect."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return needed
    if soft >= needed:
        return soft
    limit = needed if hard == resource.RLIM_INFINITY else min(needed, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    return limit
