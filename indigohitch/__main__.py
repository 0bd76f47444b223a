"""Entry point of `python -m indigohitch`.

Without arguments it runs one coordinator, configured by the file that BALANCER_CONFIG names; with arguments
it runs the command line.
"""

import signal
import sys

if len(sys.argv) == 1:
    # By default these two signals end a process.  They are ignored until the event loop handles them, which
    # loses nothing: the configuration is read later, and there are no counters yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    from .service import main

    sys.exit(main())
from .cli import main as command_line

command_line(prog_name="indigohitch")
