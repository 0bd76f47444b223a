"""Words that tests of the decision module share."""

from indigohitch import interface as face


def changes(*entries):
    return face.BackendList("changes", 2, entries)


def lines(orders):
    return [o for o in orders if isinstance(o, face.SetRoute)]
