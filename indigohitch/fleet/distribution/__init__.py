"""Scoped distribution: a subscriber hears of the services it reaches only (docs/distribution.md)."""
