"""The decisions' adapter on sockets: clients, upstream servers, the counter, discovery and peers.

`port` and `event_loop` tie them together. What to do with a request is decided in `policy`.
"""
