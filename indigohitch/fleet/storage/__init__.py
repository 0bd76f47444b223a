"""A member's persistent state: the write-ahead log in segments, snapshots, identity (docs/ledger.md)."""
