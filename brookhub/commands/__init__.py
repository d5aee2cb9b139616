"""The sub-commands of `brookhub`, a module per group of commands; `cli.py` assembles them."""
