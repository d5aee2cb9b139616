"""Reads TOML (tomllib) into a model; errors name the key, its line and what was wrong."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError

M = TypeVar("M", bound=BaseModel)


class ConfigError(ValueError):
    """A configuration file can't be used: `key` (dotted), `line` (1-based, 0 if unknown), and why."""

    def __init__(self, source: str, key: str, line: int, why: str):
        self.source, self.key, self.line, self.why = source, key, line, why
        where = f"{source}:{line}" if line else source
        super().__init__(f"{where}: {key or '(file)'}: {why}")


def line_of(text: str, path: tuple) -> int:
    """The line where the last named key of `path`, or its table, stands, searched after its parents'."""
    lines, start = text.splitlines(), 0
    for depth, part in enumerate(path):
        if isinstance(part, int):
            continue
        pattern = re.compile(
            rf"^\s*(\[\[?\s*([\w.]*\.)?{re.escape(str(part))}\s*\]\]?|{re.escape(str(part))}\s*=)"
        )
        for number in range(start, len(lines)):
            if pattern.match(lines[number]):
                start = number
                break
        else:
            return start + 1 if depth else 0
    return start + 1


def loads(text: str, model: type[M], source: str = "<text>") -> M:
    """A checked configuration from text; `source` names it in errors. Raises ConfigError."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as broken:
        found = re.search(r"line (\d+)", str(broken))
        raise ConfigError(source, "", int(found.group(1)) if found else 0, f"not TOML: {broken}") from None
    try:
        return model.model_validate(raw)
    except ValidationError as invalid:
        errors = sorted(invalid.errors(), key=lambda error: error["type"] != "extra_forbidden")
        first = errors[0]  # an unknown key first: a misspelt key also makes the right one missing
        path = tuple(first["loc"])
        kind = {"extra_forbidden": "unknown key", "missing": "required key missing"}.get(
            first["type"], first["msg"]
        )
        if first["type"] == "missing":
            line = line_of(text, path[:-1]) if len(path) > 1 else 0
        else:
            line = line_of(text, path)
        more = f" (and {len(invalid.errors()) - 1} more)" if len(invalid.errors()) > 1 else ""
        raise ConfigError(source, ".".join(map(str, path)), line, kind + more) from None


def load(path: str | Path, model: type[M]) -> M:
    """A checked configuration file. Raises ConfigError."""
    try:
        text = Path(path).read_text()
    except OSError as broken:
        raise ConfigError(str(path), "", 0, broken.strerror or str(broken)) from None
    return loads(text, model, str(path))
