"""The platform protocol: collectors, relay, discovery, probes and their front to the decision module."""
