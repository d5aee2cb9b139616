"""Wire formats: incremental parsers and encoders. Uses no sockets, clocks or threads."""
