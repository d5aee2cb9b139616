"""The sub-commands of `brookhub`, with one module for each group. `cli.py` assembles them."""
