"""Encodings for upgrades and the fleet: frames with checksums, rows, atomically written files."""
