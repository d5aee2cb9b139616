"""Adapter that runs the gateway's policy on sockets: clients, upstreams, the counter, discovery and peers.

`port` and `event_loop` connect these parts. The package `policy` decides what to do with a request.
"""
