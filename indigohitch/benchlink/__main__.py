"""Entry point `python -m indigohitch.benchlink`: serves the bench on standard input and output."""

import sys

from .host import serve
from .incoming import WireError

try:
    serve(sys.stdin.buffer, sys.stdout.buffer)
except WireError as error:
    sys.exit(f"benchlink: {error}")
