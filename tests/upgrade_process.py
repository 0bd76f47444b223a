"""One process of the model in upgrade_pair.py."""

from __future__ import annotations

from indigohitch.upgrade.predecessor import Predecessor
from indigohitch.upgrade.successor import Successor


class Process:
    """A process with its state machine, its connections and the messages on their way to it."""

    def __init__(self, machine: Predecessor | Successor) -> None:
        self.machine = machine
        self.alive = True
        self.hung = False
        self.told_to_end = False
        self.reads: set[int] = set()  # connections that it reads
        self.inbox: list[str | tuple[str, frozenset[int]]] = []  # messages that are not delivered yet
        self.cut = False  # of its end of the channel
        self.heard_cut = False
        self.sees_death = False
        self.saw_death = False
        self.started = False
        self.in_order = False  # a service that had to end, and did

    @property
    def accepting(self) -> bool:
        """Whether the process accepts connections."""
        return self.alive and not self.told_to_end and self.machine.accepting
