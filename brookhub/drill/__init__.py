"""Deprecated name of `brookhub.simulator`, kept for deploy files that run `python -m brookhub.drill`."""
