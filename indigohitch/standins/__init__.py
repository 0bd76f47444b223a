"""Stand-ins on loopback for the servers, clients and relays around the program, with faults on request."""
