"""Errors of experiments."""


class ExperimentError(RuntimeError):
    """An experiment that cannot be run on this machine. The message gives the reason in one line."""
