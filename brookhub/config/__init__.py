"""Validated configuration files in TOML: experiments, site files and the files of a gateway.

`load(path, Model)` reads and validates a file. A wrong type, an unknown key or a missing key raises
ConfigError, which names the key and its line. Format: docs/configuration.md.
"""

from .load import ConfigError, load, loads
from .models import Experiment, FaultSpec, FleetSpec, LoadSpec, SweepSpec
from .operator_files import GatewayFile, MembershipFile, PlanFile, RecoveryFile
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
