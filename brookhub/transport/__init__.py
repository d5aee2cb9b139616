"""Sockets, threads and ring buffers that transport bytes without interpreting them."""
