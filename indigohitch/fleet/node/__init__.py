"""A member of the fleet in one process: the ledger's machine, disk and links, the state and the works."""
