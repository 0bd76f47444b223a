"""python -m indigohitch: one real coordinator, told by BALANCER_CONFIG what it serves; with words, the
command line."""
import sys

if len(sys.argv) == 1:
    from .service import main
    sys.exit(main())
from .cli import main as command_line

command_line(prog_name="indigohitch")
