"""Sockets, deadlines and HTTP on one event loop; independent of the protocols spoken over them."""
