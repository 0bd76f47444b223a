"""Divides the configured descriptors and memory among the kinds of connections."""

from __future__ import annotations

import resource
from dataclasses import dataclass

BYTES_PER_MB = 1 << 20


@dataclass(slots=True, frozen=True)
class ResourceLimits:
    """The limits of each kind of connection.

    Half of the descriptors are for accepted connections and a quarter for probes, less where the last
    quarter does not hold RESERVED_DESCRIPTORS.
    """

    inbound_connections: int  # accepted connections
    probes: int  # probes in flight at once
    outbound_pool_bytes: int  # bytes queued on outbound connections
    inbound_pool_bytes: int  # bytes of incomplete messages of collectors

    # Python with the modules loaded takes 21 MB; a tenth more for the tables, the backend list and garbage.
    PROGRAM_BYTES = 24 * BYTES_PER_MB
    # Two connections to the relay and one for its event stream, twice while its address changes, as many to
    # discovery, ten of the process itself, one accepted before another is evicted, and a file that is reread.
    RESERVED_DESCRIPTORS = 24
    # Minimums to serve at all, even if the configured limits allow less; calls fail if that is too few.
    MIN_INBOUND_CONNECTIONS = 4
    MIN_PROBES = 2
    # One ring buffer at its maximum size, so that a single message of the longest kind always fits.
    MIN_POOL_BYTES = 2 * BYTES_PER_MB

    @classmethod
    def from_config(cls, limits: dict) -> ResourceLimits:
        """Divide the configuration's `limits`; raises KeyError, TypeError or ValueError if invalid."""
        sockets = int(limits["sockets"])
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if allowed != resource.RLIM_INFINITY:
            sockets = min(sockets, allowed)
        spare = int(limits["memory_mb"]) * BYTES_PER_MB - cls.PROGRAM_BYTES
        # A quarter each: a ring buffer that grows briefly holds its old block too, and the rest has
        # other uses.
        share = max(cls.MIN_POOL_BYTES, spare // 4)
        unreserved = sockets - cls.RESERVED_DESCRIPTORS
        inbound = max(cls.MIN_INBOUND_CONNECTIONS, min(sockets // 2, unreserved * 2 // 3))
        probes = max(cls.MIN_PROBES, min(sockets // 4, unreserved // 3))
        return cls(inbound, probes, min(16 * BYTES_PER_MB, share), min(32 * BYTES_PER_MB, share))
