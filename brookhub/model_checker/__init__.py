"""An explicit-state model checker, and a model of maintenance plans that runs the real maintenance core."""

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
