"""Tamper-evident log of which member acted on which version, from when to when (docs/audit.md)."""
