"""Seats of licensed software: never more in use in the whole fleet than contracted.  No I/O."""
