"""Scoped distribution: a subscriber receives only the services that it needs (docs/distribution.md)."""
