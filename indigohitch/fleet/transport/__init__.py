"""Message transport between the members over TCP, with one connection per direction (docs/ledger.md)."""
