"""Who belongs to the fleet and may act: incarnations, leases, the judge over versions (docs/audit.md)."""
