"""The bench's wire: its lines both ways and the host of the coordinators that speak over it."""
