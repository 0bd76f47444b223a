"""Backend lists from a configuration subscription, used in place of the discovery service."""
