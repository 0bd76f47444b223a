"""The vocabularies of the fleet's further parts: one entry each, read after the fleet's own."""
from __future__ import annotations

from importlib import import_module
from importlib.util import find_spec

from .fleet import VOCABULARY as FLEET

PARTS = ("seats", "batches")
VOCABULARIES = (FLEET, *(import_module(f"{__package__}.{part}").VOCABULARY for part in PARTS
                         if find_spec(f"{__package__}.{part}")))
