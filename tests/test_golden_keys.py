"""The keys of every file that operators write, and the words and defaults that these keys take.

`golden/keys.json` holds them by file, as paths: `fleet.servers.count`, `peers[].name`. Files that a model
checks give their keys by the model; for those that are read by hand, the keys are the ones that are asked
for, and a sample with every key has to lose something by the loss of any.
"""

import copy
import dataclasses
import json
import tomllib
from collections.abc import Callable, Iterator
from enum import Enum
from pathlib import Path
from typing import Any, Literal, get_args, get_origin

import click
import msgspec
import pytest
from pydantic import BaseModel
from pydantic.fields import FieldInfo

from brookhub.cli import main
from brookhub.config import (
    Experiment,
    GatewayFile,
    MembershipFile,
    PlanFile,
    RecoveryFile,
    load,
)
from brookhub.config.site import SiteFile
from brookhub.program import start_file
from brookhub.settings import read_gateway_settings
from brookhub.simulator.host import Seat
from golden_cases import GOLDEN, golden_text

ROOT = GOLDEN.parent.parent
KEYS: dict[str, Any] = json.loads(golden_text("keys.json"))
MODELS: dict[str, type[BaseModel]] = {
    "experiment": Experiment,
    "start file in TOML": GatewayFile,
    "peers": MembershipFile,
    "recovery": RecoveryFile,
    "maintenance plan": PlanFile,
    "site": SiteFile,
}
REQUIRED = "required"


# files that a model checks


def models_in(annotation: Any) -> Iterator[type[BaseModel]]:
    """The models that a field's type names."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for part in get_args(annotation):
        yield from models_in(part)


def words_in(annotation: Any) -> list[str]:
    """The words that a field may have as its value, empty where it may have others."""
    return list(get_args(annotation)) if get_origin(annotation) is Literal else []


def described(field: FieldInfo) -> Any:
    """A field's default, and its words where only some are allowed."""
    default = REQUIRED if field.is_required() else field.get_default(call_default_factory=True)
    words = words_in(field.annotation)
    return {"words": words, "default": default} if words else default


def model_keys(model: type[BaseModel], path: str = "") -> dict[str, Any]:
    """The keys that a model's file may have, as paths, each with its default."""
    keys: dict[str, Any] = {}
    for name, field in model.model_fields.items():
        key = path + (field.alias or name)
        inner = list(models_in(field.annotation))
        for one in inner:
            keys |= model_keys(one, key + ("[]." if get_origin(field.annotation) is list else "."))
        if not inner:
            keys[key] = described(field)
    return keys


@pytest.mark.parametrize("file", MODELS)
def test_a_checked_file_has_the_golden_keys_words_and_defaults(file: str) -> None:
    assert json.loads(json.dumps(model_keys(MODELS[file]))) == KEYS[file]


def test_a_plan_with_every_key_is_read_value_by_value() -> None:
    plan = json.loads(msgspec.json.encode(start_file.read_plan(GOLDEN / "plan.toml")))
    machines = [["rack-a1", "a", 8.0, ["s-0", "s-3"], ""], ["rack-b1", "b", 4.0, ["s-1"], "n3"]]
    limits = [2, 3, 0.25, 0.9, 0.4, 1800.0, 45.0, 20.0, 2.5]
    assert plan == [3, machines, ["n0", "n1", "n2"], *limits, ["n1", "n2", "n3"], 1]


def test_a_site_file_gives_the_golden_settings() -> None:
    settings = load(ROOT / "deploy" / "sites" / "sensor-hub.toml", SiteFile).settings(4)
    assert settings == json.loads(golden_text("site_settings.json"))


# files that are read by hand: the start file and the settings in it


class RecordingDict(dict[str, Any]):
    """A table of a file that notes, as paths, which of its keys were asked for."""

    def __init__(self, table: dict[str, Any], asked: set[str], path: str = "") -> None:
        self.asked, self.path = asked, path
        super().__init__({name: self.recording(name, value) for name, value in table.items()})

    def recording(self, name: str, value: Any) -> Any:
        """The value, recording where it is a table or holds tables."""
        if isinstance(value, dict):
            return RecordingDict(value, self.asked, f"{self.path}{name}.")
        if isinstance(value, list):
            return [self.recording(f"{name}[]", item) for item in value]
        return value

    def get(self, name: str, default: Any = None) -> Any:
        """The value of a key, which is noted."""
        self.asked.add(self.path + name)
        return super().get(name, default)


def sample() -> dict[str, Any]:
    """A start file with every key, none of them at its default."""
    told: dict[str, Any] = json.loads(golden_text("start.json"))
    return told


def load_columns(told: dict[str, Any]) -> list[str]:
    """The names of the figures that the simulator's load reports have."""
    return Seat(1, 0, told["settings"], 0.0, NoReply()).columns


class NoReply:
    """An answer to the simulator that nobody reads."""

    def add(self, code: int, *fields: Any) -> None:
        """Drop a record."""


def loaded(told: dict[str, Any]) -> list[Any]:
    """All that is read from a start file, by position."""
    start = start_file.parse(told, {}, False)
    settings = dataclasses.astuple(read_gateway_settings(told["settings"]))
    known = start.initial_server_list and [
        (start.initial_server_list.version, start.initial_server_list.is_complete),
        *(
            [getattr(host, name) for name in type(host).__slots__]
            for host in start.initial_server_list.servers
        ),
    ]
    others = [
        value
        for name, value in vars(start).items()
        if name not in ("gateway_settings", "initial_server_list")
    ]
    return [settings, known, load_columns(told), *others]


def place_of(member: Enum) -> int:
    """An enumeration's member as its place, which stays when the member is renamed."""
    return list(type(member)).index(member)


def paths(table: dict[str, Any]) -> Iterator[tuple[Any, ...]]:
    """Where each key of a file stands, its tables left out."""
    for name, value in table.items():
        items = value if isinstance(value, list) else [value]
        for at, item in enumerate(items):
            if isinstance(item, dict):
                inside = (name, at) if isinstance(value, list) else (name,)
                yield from ((*inside, *rest) for rest in paths(item))
        if not any(isinstance(item, dict) for item in items):
            yield (name,)


def without(table: dict[str, Any], path: tuple[Any, ...]) -> dict[str, Any]:
    """A copy of a file without one key."""
    changed = copy.deepcopy(table)
    place: Any = changed
    for name in path[:-1]:
        place = place[name]
    del place[path[-1]]
    return changed


def outcome(read: Callable[[dict[str, Any]], Any], told: dict[str, Any]) -> Any:
    """What is read from a file, or the error that says why it can't be."""
    try:
        return read(told)
    except ValueError as error:
        return str(error)
    except start_file.StartError as error:
        return str(error)


def test_the_start_file_is_asked_for_the_golden_keys_and_no_others() -> None:
    asked: set[str] = set()
    start_file.parse(RecordingDict(sample(), asked), {}, False)
    load_columns({"settings": RecordingDict(sample()["settings"], asked, "settings.")})
    assert sorted(asked) == KEYS["start file and settings"]


def test_the_start_file_with_every_key_is_read_value_by_value() -> None:
    shown = json.dumps(loaded(sample()), default=place_of)
    assert json.loads(shown) == json.loads(golden_text("start_loaded.json")), shown


LAST_CLASS = ("settings", "classes", 2)  # all its words are the defaults


def test_no_key_of_the_start_file_can_be_left_out_unseen() -> None:
    whole = outcome(loaded, sample())
    unseen = [
        path
        for path in paths(sample())
        if path[:3] != LAST_CLASS and outcome(loaded, without(sample(), path)) == whole
    ]
    assert unseen == []


def test_the_start_file_is_found_and_overruled_by_the_golden_variables(tmp_path: Path) -> None:
    path = tmp_path / "start.json"
    path.write_text(golden_text("start.json"))
    variables = {"NODE_CONFIG": str(path), "NODE_NAME": "n9", "NODE_LISTEN": "127.0.0.2:1"}
    start = start_file.read({**variables, "NODE_DISCOVERY": "127.0.0.3:2"})
    assert (start.name, start.listen, start.discovery) == ("n9", ("127.0.0.2", 1), ("127.0.0.3", 2))


# the deploy file and the commands


def test_the_deploy_file_has_the_golden_keys() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert {key: type(value).__name__ for key, value in deploy.items()} == KEYS["deploy file"]
    assert deploy["run"].endswith(".venv/bin/python -m brookhub")
    assert all((ROOT / path).exists() for path in [*deploy["policy"], *deploy["node"]])


def commands(command: click.Command, path: str = "") -> dict[str, list[str]]:
    """Each command by its path, with its arguments and options."""
    found = {path: sorted(option for one in command.params for option in one.opts)}
    if isinstance(command, click.Group):
        found = {}
        for name, one in command.commands.items():
            found |= commands(one, f"{path} {name}".strip())
    return found


def test_the_golden_commands_and_their_options_are_there() -> None:
    present = commands(main)
    missing = {
        name: options
        for name, options in KEYS["commands"].items()
        if not set(options) <= set(present.get(name, ()))
    }
    assert missing == {}
