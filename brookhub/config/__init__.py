"""Checked configuration in TOML: experiments for the emulator and lab, and the gateway's start file.

`load(path, Model)` reads and validates; a wrong type, unknown key or missing key raises ConfigError naming
the key and its line. Format: docs/configuration.md.
"""

from .load import ConfigError, load, loads
from .models import (
    Experiment,
    FaultSpec,
    FleetSpec,
    GatewayFile,
    LoadSpec,
    MembershipFile,
    PlanFile,
    RecoveryFile,
    SweepSpec,
)
from .site import SiteFile

__all__ = [
    "ConfigError",
    "load",
    "loads",
    "Experiment",
    "FaultSpec",
    "FleetSpec",
    "GatewayFile",
    "LoadSpec",
    "MembershipFile",
    "PlanFile",
    "RecoveryFile",
    "SiteFile",
    "SweepSpec",
]
