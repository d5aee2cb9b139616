"""Sockets, threads and ring buffers: moves bytes and knows nothing about what they mean."""
