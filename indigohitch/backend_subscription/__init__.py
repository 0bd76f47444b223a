"""Backends read from a configuration subscription in place of the discovery service."""
