"""Persistent state of a member: the write-ahead log in segments, snapshots, identity (docs/ledger.md)."""
