"""One timeline out of the stamps of several files.  No I/O.  Each repair is a named rule that is counted and
can be switched off; docs/load.md lists them."""

RULES = (
    "end-stamps",
    "out-of-order",
    "clock-back",
    "dst-back",
    "dst-forward",
    "stray-line",
    "spread-seconds",
    "duplicate",
)
