"""What a trace is like: rates, popularity of keys, times between requests, sizes; and another one like it."""
