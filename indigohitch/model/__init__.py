"""An emulator of the backends and proxies around the coordinators, for sizes that sockets don't reach."""
