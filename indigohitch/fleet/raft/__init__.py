"""The Raft consensus algorithm for one member of a replicated log, without I/O (docs/ledger.md)."""
