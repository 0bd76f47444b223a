"""Sockets, timers and HTTP on one event loop, independent of the protocols that use them."""
