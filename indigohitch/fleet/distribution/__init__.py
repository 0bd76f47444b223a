"""Scoped distribution: each subscriber receives only the services in its scope (docs/distribution.md)."""
