"""Lists the vocabularies of the fleet and its features; a new feature adds its own here."""

from __future__ import annotations

from . import batches, distribution, fleet, seats

VOCABULARIES = (fleet.VOCABULARY, seats.VOCABULARY, batches.VOCABULARY, distribution.VOCABULARY)
