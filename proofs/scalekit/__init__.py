"""What proofs/scale.py is made of: thousands of subscribers that share processes (`hollow`, `workers`), real
ones (`real`), the intended content and its changes (`intended`, `changes`), faults (`faults`), and the
judgement (`records`, `judge`).  `guards` takes a guard out of the distributors for BROKEN=..."""
