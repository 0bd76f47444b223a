"""Helpers for events and orders that tests of the decision module share."""

from indigohitch import interface as face


def changes(*entries):
    """Returns a list of backends that holds only these changes."""
    return face.BackendList("changes", 2, entries)


def lines(orders):
    """Returns the orders that set or remove a route."""
    return [order for order in orders if isinstance(order, face.SetRoute)]
