"""An explicit-state model checker, and the model of a maintenance plan that it runs on the real core."""

from .explorer import SearchLimits, SearchResult, search
from .model import Model
from .planted_faults import PLANTED, sound_roles
from .settings import ModelSettings
from .state import Action, ActionKind, Fault

__all__ = [
    "Action",
    "ActionKind",
    "Fault",
    "Model",
    "ModelSettings",
    "PLANTED",
    "SearchLimits",
    "SearchResult",
    "search",
    "sound_roles",
]
