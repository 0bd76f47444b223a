"""Hands the listeners, connections and state of a running process over to a new one of the same program."""
