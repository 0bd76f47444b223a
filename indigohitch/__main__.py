"""python -m indigohitch: one real coordinator, told by BALANCER_CONFIG what it serves."""
import sys

from .service import main

sys.exit(main())
