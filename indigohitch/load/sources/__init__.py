"""Readers of HAR files and access logs.  Each yields entries, and tells every line that it can't read."""
