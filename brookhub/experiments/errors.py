"""Errors of experiments."""


class ExperimentError(RuntimeError):
    """The experiment can't be run on this machine; the message says why in one line."""
