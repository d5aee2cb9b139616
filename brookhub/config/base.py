"""The base class of the pydantic models of configuration files."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict


class StrictModel(BaseModel):
    """Base class of all configuration tables. Tables are immutable, and an unknown key is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)
