"""One process of the model in upgrade_pair.py."""

from __future__ import annotations

from indigohitch.upgrade.predecessor import Predecessor
from indigohitch.upgrade.successor import Successor


class Process:
    """A process with its state machine, its connections and the messages on their way to it."""

    def __init__(self, machine: Predecessor | Successor) -> None:
        self.machine = machine
        self.is_alive = True
        self.is_hung = False
        self.ordered_to_end = False
        self.owned: set[int] = set()  # connections that it owns and reads
        self.inbox: list[str | tuple[str, frozenset[int]]] = []  # messages sent to it and not delivered yet
        self.channel_cut = False  # whether its end of the channel is closed
        self.noticed_cut = False
        self.other_is_dead = False
        self.noticed_death = False
        self.has_started = False
        self.ended_by_order = False  # it was serving, was ordered to end, and did

    @property
    def accepting(self) -> bool:
        """Whether the process accepts connections."""
        return self.is_alive and not self.ordered_to_end and self.machine.accepting
