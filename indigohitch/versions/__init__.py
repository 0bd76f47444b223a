"""Versioned routing tables: immutable versions, deltas between them, and what each relay holds of them."""
