"""python -m indigohitch: one real coordinator, told by BALANCER_CONFIG what it serves; with words, the
command line."""

import signal
import sys

if len(sys.argv) == 1:
    # Until the loop hears them these two would end the process; the file is read later, and what it counts
    # is nothing yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    from .service import main

    sys.exit(main())
from .cli import main as command_line

command_line(prog_name="indigohitch")
