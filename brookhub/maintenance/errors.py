"""Exceptions that the maintenance package raises to its callers (UnreadableError is in messages.py)."""


class PlanRejectedError(Exception):
    """A submitted plan conflicts with the current one; the message describes the conflict in one line."""
