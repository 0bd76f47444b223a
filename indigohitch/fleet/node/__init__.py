"""A member of the fleet in its process: Raft, the replicated state machine and the works over it."""
