"""The Raft consensus algorithm: one member of a replicated log, without I/O (docs/ledger.md)."""
