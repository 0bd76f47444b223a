"""The bench's wire: its codec and the host of the coordinators that speak over it."""
