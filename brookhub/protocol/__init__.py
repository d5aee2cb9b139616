"""Wire formats: readers that are fed bytes, and encoders. Knows no socket, clock or thread."""
