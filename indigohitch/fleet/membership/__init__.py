"""Group membership: incarnations, leases, failure detection, comparison of states (docs/audit.md)."""
