"""Bytes that outlive a call: frames with checksums, rows, files written whole; for upgrades and the fleet."""
