"""The sub-commands of `brookhub`, a module for each group; `cli.py` puts them together."""
