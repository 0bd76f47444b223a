"""HAR files and access logs as load: sources, one timeline, a trace file, and its replay.  A tool; no part of
a coordinator imports it."""
