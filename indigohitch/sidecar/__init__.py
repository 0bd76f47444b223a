"""The second front of the decision module: a sidecar that carries RPCs itself, as a joined proxy of its own
coordinator."""
