"""An explicit-state model checker, and the model of a maintenance plan that it runs on the real core."""

from .explorer import Found, search
from .maintenance import PLANTED, Model, Register

__all__ = ["Found", "Model", "PLANTED", "Register", "search"]
