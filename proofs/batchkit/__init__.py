"""For proofs/batches.py: `field` (processes), `crowded` (a server), `costs` (plans compared), `broken` (a
guard taken away)."""
