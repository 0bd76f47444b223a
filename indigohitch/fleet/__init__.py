"""The fleet: the state that the coordinators and sidecars of one installation replicate, and its use."""
