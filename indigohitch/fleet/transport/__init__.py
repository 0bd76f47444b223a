"""Words between the members, over TCP: one dialled connection a direction (docs/ledger.md)."""
