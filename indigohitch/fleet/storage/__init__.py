"""What a member of the ledger has on its disk: segments, snapshots, identity (docs/ledger.md)."""
