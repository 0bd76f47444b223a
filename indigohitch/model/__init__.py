"""An emulator of what the module balances, for sizes that sockets don't reach.  A tool; small on purpose."""
