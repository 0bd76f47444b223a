"""Sidecar that proxies RPCs itself.

It is the second front of the decision module: the only proxy, permanently joined, of its own coordinator.
"""
