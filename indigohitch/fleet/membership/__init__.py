"""Group membership: incarnations, leases, failure detection and state comparison (docs/audit.md)."""
