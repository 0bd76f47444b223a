"""Batch work in hours of cheap electricity: prices, the plan, and the pieces that members run."""
