"""What the configured limits leave for each job: descriptors and memory are dealt out here, once, so that
no kind of caller can take what another needs."""

from __future__ import annotations

import resource
from dataclasses import dataclass

BYTES_PER_MB = 1 << 20


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """Half of the descriptors are for callers and a quarter for probes at once, less where the last quarter
    does not hold what must always get through."""

    inbound_connections: int  # accepted connections
    probes: int  # probes that are out at once
    outbound_pool_bytes: int  # bytes that wait on the connections we opened
    inbound_pool_bytes: int  # bytes of unfinished messages of those who have joined

    # Python with the modules loaded takes 21 MB; a tenth more for the tables, the list and garbage.
    PROGRAM_BYTES = 24 * BYTES_PER_MB
    # Two connections to the relay and one of its news, twice while it moves, as many to discovery, the ten of
    # the process itself, one accepted for which another gives way, and a file that is read again.
    RESERVED_DESCRIPTORS = 24
    # With fewer than that it can't serve; what is missing then is met at each call.
    MIN_INBOUND_CONNECTIONS = 4
    MIN_PROBES = 2
    # A single ring at its bound, so that one message of the longest kind always fits.
    MIN_POOL_BYTES = 2 * BYTES_PER_MB

    @classmethod
    def from_config(cls, told: dict) -> ResourceLimits:
        """Out of the configuration's `limits`; KeyError, TypeError, ValueError where they can't be read."""
        sockets, allowed = int(told["sockets"]), resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if allowed != resource.RLIM_INFINITY:
            sockets = min(sockets, allowed)
        spare = int(told["memory_mb"]) * BYTES_PER_MB - cls.PROGRAM_BYTES
        # A quarter each: a ring that grows holds its old block a moment longer, and the rest is not ours.
        share = max(cls.MIN_POOL_BYTES, spare // 4)
        rest = sockets - cls.RESERVED_DESCRIPTORS
        callers = max(cls.MIN_INBOUND_CONNECTIONS, min(sockets // 2, rest * 2 // 3))
        probes = max(cls.MIN_PROBES, min(sockets // 4, rest // 3))
        return cls(callers, probes, min(16 * BYTES_PER_MB, share), min(32 * BYTES_PER_MB, share))
