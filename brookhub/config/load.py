"""Reads TOML (tomllib) into a model; errors name the file, the key, its line and what is wrong with it."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

Model = TypeVar("Model", bound=BaseModel)
KeyPath = Sequence[str | int]  # names of tables and keys, and indices into arrays, from the outermost

UNKNOWN_KEY = "extra_forbidden"  # pydantic's type of error for a key that the model does not have
MISSING_KEY = "missing"
REASONS = {UNKNOWN_KEY: "unknown key", MISSING_KEY: "required key missing"}


class ConfigError(ValueError):
    """A configuration file that can't be used.

    `source` is the file, `key` the dotted key (empty: the whole file), `line` is 1-based (0: unknown), `why`
    the reason.
    """

    def __init__(self, source: str, key: str, line: int, why: str) -> None:
        self.source = source
        self.key = key
        self.line = line
        self.why = why
        where = f"{source}:{line}" if line else source
        super().__init__(f"{where}: {key or '(file)'}: {why}")


def line_of(text: str, path: KeyPath) -> int:
    """The 1-based line of the last name in `path`, each name searched after the line of its parent.

    A name that is not there gives the line of its parent, or 0 if the first name is not there either.
    """
    lines = text.splitlines()
    current = 0
    for depth, name in enumerate(path):
        if isinstance(name, int):
            continue
        escaped = re.escape(name)
        definition = re.compile(rf"^\s*(\[\[?\s*([\w.]*\.)?{escaped}\s*\]\]?|{escaped}\s*=)")
        found = next(
            (number for number in range(current, len(lines)) if definition.match(lines[number])), None
        )
        if found is None:
            return current + 1 if depth else 0
        current = found
    return current + 1


def config_error(source: str, text: str, errors: list[ErrorDetails]) -> ConfigError:
    """The first of a model's validation errors, with its line.

    An unknown key comes before others: a misspelt key also makes the correct one missing.
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
    """A checked configuration from text; `source` names it in errors. Raises ConfigError."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"line (\d+)", str(error))
        line = int(found.group(1)) if found else 0
        raise ConfigError(source, "", line, f"not TOML: {error}") from None
    try:
        return model.model_validate(raw)
    except ValidationError as error:
        raise config_error(source, text, error.errors()) from None


def load(path: str | Path, model: type[Model]) -> Model:
    """A checked configuration file. Raises ConfigError."""
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise ConfigError(str(path), "", 0, error.strerror or str(error)) from None
    return loads(text, model, str(path))
