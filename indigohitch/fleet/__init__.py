"""The fleet as one: what the coordinators and sidecars of one installation agree on and act by together."""
