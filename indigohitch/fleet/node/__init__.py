"""A member of the fleet as a process: Raft, the replicated state machine and the works that use it."""
