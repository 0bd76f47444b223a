"""A member of the fleet in one process: the ledger's machine, disk and links, the book and the works."""
