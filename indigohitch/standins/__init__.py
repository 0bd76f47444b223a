"""Stand-ins for what the program meets: servers and clients of our own, on loopback, that fail on order."""
