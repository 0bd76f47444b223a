"""A running program hands its listeners, connections and state to a new process of itself."""
