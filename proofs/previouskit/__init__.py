"""Parts of proofs/previous_version.py: an earlier commit and this checkout as programs that run side by side.

program_texts   the two checkouts, the commands that start them, and which one a process runs
log_lines       what processes printed: troubles, tracebacks, comparisons of states
sidecar, coordinator, fleet, stores     the parts of the proof; each returns figures and what is broken
names           the only place with Python names of the program, in one form per version"""
