"""python -m indigohitch.benchlink: standard input and output are the wire's alone."""

import sys

from .host import serve
from .incoming import WireError

try:
    serve(sys.stdin.buffer, sys.stdout.buffer)
except WireError as bad:
    sys.exit(f"benchlink: {bad}")
