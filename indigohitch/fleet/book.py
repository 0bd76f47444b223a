"""Former name of `state_machine`; until distribution has joined."""

from .state_machine import ReplicatedStateMachine

Book = ReplicatedStateMachine  # until distribution has joined
