"""A coordinator whose backends come from its subscription and not from discovery."""
