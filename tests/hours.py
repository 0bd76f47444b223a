"""Clock and deadlines of an event loop that a test advances by hand."""


class Hours:
    """Clock and deadlines of an event loop, without the loop."""

    def __init__(self):
        self.clock = self
        self.time = 1000
        self.due = []

    def now(self):
        return self.time

    def call_at(self, when, action):
        self.due.append((when, action))

    def go(self, span, event_batch):
        """Advance the clock by `span` ticks, run the due actions and flush the batch if it is due."""
        self.time += span
        ready = [action for when, action in self.due if when <= self.time]
        self.due = [(when, action) for when, action in self.due if when > self.time]
        for action in ready:
            action()
        event_batch.flush_if_due()
