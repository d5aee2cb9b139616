"""Errors of the maintenance package that are raised to its callers (UnreadableError: messages.py)."""


class PlanRejectedError(Exception):
    """A plan conflicts with the one that is held; the text says how, in one line."""
