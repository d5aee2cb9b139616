"""What goes wrong in a lab."""


class LabError(RuntimeError):
    """The lab can't play this: says why in one line."""
