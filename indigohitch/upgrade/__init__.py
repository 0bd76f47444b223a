"""A running program hands its listeners, connections and state over to a new process of itself."""
