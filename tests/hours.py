"""A loop's clock and deadlines without a loop."""


class Hours:
    """A loop's clock and deadlines without a loop."""

    def __init__(self):
        self.clock, self.time, self.due = self, 1000, []

    def now(self):
        return self.time

    def call_at(self, when, action):
        self.due.append((when, action))

    def go(self, span, gathering):
        self.time += span
        ready = [action for when, action in self.due if when <= self.time]
        self.due = [(when, action) for when, action in self.due if when > self.time]
        for action in ready:
            action()
        gathering.flush_if_due()
