"""Deprecated name of `brookhub.simulator`, kept for deploy files that start `python -m brookhub.drill`."""
