"""Allocates licence seats, never more in use in the whole fleet than the contract allows.  No I/O."""
