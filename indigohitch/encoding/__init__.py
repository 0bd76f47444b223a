"""Encoding for upgrades and the fleet: frames with checksums, rows, and atomically written files."""
