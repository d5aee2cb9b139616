"""The base class of the pydantic models of configuration files."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict


class StrictModel(BaseModel):
    """Base of all configuration tables: immutable, and an unknown key is a validation error."""

    model_config = ConfigDict(extra="forbid", frozen=True)
