"""Loading of TOML files into pydantic models, with errors that name the file, the key and its line."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

Model = TypeVar("Model", bound=BaseModel)
KeyPath = Sequence[str | int]  # Names of tables and keys, and indices of arrays, outermost first.

UNKNOWN_KEY = "extra_forbidden"  # pydantic's error type for a key that the model does not define.
MISSING_KEY = "missing"
REASONS = {UNKNOWN_KEY: "unknown key", MISSING_KEY: "required key missing"}


class ConfigError(ValueError):
    """An unusable configuration file.

    Attributes:
        source: path of the file.
        key: dotted key; empty if the error concerns the whole file.
        line: line number, from 1; 0 if unknown.
        why: the reason.
    """

    def __init__(self, source: str, key: str, line: int, why: str) -> None:
        self.source = source
        self.key = key
        self.line = line
        self.why = why
        location = f"{source}:{line}" if line else source
        super().__init__(f"{location}: {key or '(file)'}: {why}")


def line_of(text: str, path: KeyPath) -> int:
    """Return the line number, from 1, of the last name in `path`.

    Each name is searched from the line of its parent on. If a name is not found, return the line of its
    parent, or 0 if it is the first name.
    """
    lines = text.splitlines()
    current_index = 0
    for depth, name in enumerate(path):
        if isinstance(name, int):
            continue
        escaped = re.escape(name)
        definition = re.compile(rf"^\s*(\[\[?\s*([\w.]*\.)?{escaped}\s*\]\]?|{escaped}\s*=)")
        found = next(
            (number for number in range(current_index, len(lines)) if definition.match(lines[number])), None
        )
        if found is None:
            return current_index + 1 if depth else 0
        current_index = found
    return current_index + 1


def config_error(source: str, text: str, errors: list[ErrorDetails]) -> ConfigError:
    """Convert a model's first validation error into a ConfigError with the line of its key.

    Unknown keys take precedence over other errors, because a misspelt key also makes the correct key missing.
    """
    first = min(errors, key=lambda error: error["type"] != UNKNOWN_KEY)
    path = first["loc"]
    reason = REASONS.get(first["type"], first["msg"])
    if first["type"] == MISSING_KEY:
        table = path[:-1]
        line = line_of(text, table) if table else 0
    else:
        line = line_of(text, path)
    others = f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""
    return ConfigError(source, ".".join(map(str, path)), line, reason + others)


def loads(text: str, model: type[Model], source: str = "<text>") -> Model:
    """Parse and validate a configuration. Raises ConfigError, which names `source` as the file."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line_match = re.search(r"line (\d+)", str(error))
        line = int(line_match.group(1)) if line_match else 0
        raise ConfigError(source, "", line, f"not TOML: {error}") from None
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        raise config_error(source, text, error.errors()) from None


def load(path: str | Path, model: type[Model]) -> Model:
    """Read and validate a configuration file. Raises ConfigError."""
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise ConfigError(str(path), "", 0, error.strerror or str(error)) from None
    return loads(text, model, str(path))
