"""Batches in cheap hours: what electricity costs, the plan, who runs which piece (docs/batches.md)."""
