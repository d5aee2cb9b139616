"""The direction of imports: layers import only earlier ones, cores do no I/O, no modules import in a circle.

Imports for type checking alone count too: a reader follows them like any other.
"""

from __future__ import annotations

import ast
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "brookhub"
BASICS = {"structures", "site", "model", "ports"}
CORES = {"membership", "coordination", "maintenance", "recovery"}
LAYERS = {"transport", "protocol", "routing", "program"}

# Package or top module -> what of brookhub it may import beside itself
ALLOWED = {
    "structures": set(),
    "site": set(),
    "model": {"structures", "site"},
    "ports": {"model"},
    "settings": {"site"},
    "registry": {"model", "site"},
    **dict.fromkeys(CORES, BASICS),
    "policy": BASICS,
    "transport": set(),
    "protocol": {"transport", "site", "model"},
    "routing": {"transport", "protocol", "registry", *BASICS, *CORES},
    "config": {"settings", "site"},
    "program": {
        "config",
        "transport",
        "protocol",
        "routing",
        "policy",
        "settings",
        "registry",
        *BASICS,
        *CORES,
    },
    "simulator": {"policy", "settings", "registry", *BASICS},
    "drill": {"simulator"},
    "emulator": {"policy", "config", "settings", "registry", *BASICS, *CORES},
    "fault_injection": set(),
    "fakes": {"fault_injection", "emulator", "protocol", "transport", *BASICS},
    "model_checker": {"maintenance"},
}
EVERYTHING = {"experiments", "commands", "cli", "__main__", "__init__"}  # the outer modules
# What serves must stay free of these: threads and blocking sockets alone, parsers of the project's own
NETWORK_LIBRARIES = {"asyncio", "selectors", "http", "urllib", "socketserver", "aiohttp", "requests", "redis"}
INPUT_AND_OUTPUT = {"socket", "threading", "time", "subprocess", "os", "pathlib", "select"}


def module_name(path: Path) -> str:
    """The dotted name of a file, a package's for its __init__.py."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


@cache
def modules() -> dict[str, Path]:
    """All modules of the package, by name."""
    return {module_name(path): path for path in sorted(PACKAGE.rglob("*.py"))}


def imported_by(name: str) -> set[str]:
    """The names of all modules that a module imports, brookhub's own as full names."""
    path = modules()[name]
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            found.update(names_of(node, name, is_package=path.name == "__init__.py"))
    return found - {name}


def names_of(node: ast.ImportFrom, name: str, is_package: bool) -> set[str]:
    """The modules that a `from ... import ...` names."""
    if not node.level:
        return {node.module or ""}
    parents = name.split(".")
    base = parents[: len(parents) - node.level + is_package]
    source = ".".join([*base, node.module] if node.module else base)
    submodules = {f"{source}.{alias.name}" for alias in node.names} & modules().keys()
    return submodules if len(submodules) == len(node.names) else {source, *submodules}


def area(name: str) -> str:
    """The package or top module that a module belongs to."""
    parts = name.split(".")
    return parts[1] if len(parts) > 1 else "__init__"


@pytest.mark.parametrize("name", sorted(modules()))
def test_a_module_imports_only_from_earlier_layers(name):
    if area(name) in EVERYTHING:
        return
    imported = {area(other) for other in imported_by(name) if other.startswith("brookhub")}
    assert imported - {area(name)} <= ALLOWED[area(name)]


@pytest.mark.parametrize("name", [name for name in sorted(modules()) if area(name) in {*CORES, "policy"}])
def test_a_core_does_no_input_or_output(name):
    imported = {other.split(".")[0] for other in imported_by(name)}
    assert not imported & (INPUT_AND_OUTPUT | NETWORK_LIBRARIES)


@pytest.mark.parametrize("name", [name for name in sorted(modules()) if area(name) in LAYERS])
def test_what_serves_uses_no_networking_library(name):
    imported = {other.split(".")[0] for other in imported_by(name)}
    assert not imported & NETWORK_LIBRARIES


def test_no_modules_import_each_other_in_a_circle():
    # A package's __init__ only gathers the names of its modules, which may import their neighbours
    graph = {
        name: {other for other in imported_by(name) if other in modules()}
        for name, path in modules().items()
        if path.name != "__init__.py"
    }
    assert circles(graph) == []


def circles(graph: dict[str, set[str]]) -> list[str]:
    """The circles of a graph of imports, each as a line."""
    found = []
    done: set[str] = set()

    def visit(name: str, trail: list[str]) -> None:
        if name in trail:
            found.append(" -> ".join([*trail[trail.index(name) :], name]))
            return
        if name in done:
            return
        for other in sorted(graph.get(name, ())):
            visit(other, [*trail, name])
        done.add(name)

    for name in sorted(graph):
        visit(name, [])
    return found
