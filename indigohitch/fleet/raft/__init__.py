"""The ledger: one ordered record among the members (docs/ledger.md)."""
