"""Messages between the members over TCP, one dialled connection for each direction (docs/ledger.md)."""
