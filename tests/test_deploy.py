"""What the operators' benches are told of the program: `deploy/balancer.toml`."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def told():
    return tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_the_deploy_file_names_every_file_of_the_decisions():
    # A folder in their place is no file to the bench, which then counts no line of them.
    there = sorted(str(path.relative_to(ROOT)) for path in (ROOT / "brookhub" / "policy").glob("**/*.py"))
    assert sorted(told()["policy"]) == there


def test_what_the_deploy_file_names_is_there():
    for name in (*told()["policy"], *told()["node"]):
        assert (ROOT / name).exists(), name
