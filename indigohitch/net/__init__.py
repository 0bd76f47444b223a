"""Sockets, deadlines and HTTP on one loop; knows nothing of what is said over them."""
