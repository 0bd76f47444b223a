"""The vocabularies of the fleet's further parts: one entry each, read after the fleet's own."""

from __future__ import annotations

from . import batches, distribution, fleet, seats

VOCABULARIES = (fleet.VOCABULARY, seats.VOCABULARY, batches.VOCABULARY, distribution.VOCABULARY)
