"""The users' own protocol: collectors, relay, discovery and probes, and the front between them and
the decision module."""
