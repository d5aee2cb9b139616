"""The list of tests that are known to fail passes over just these."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from conftest import read_known_failures

TESTS = Path(__file__).parent
# conftest.py and what it imports of this folder
COPIED_MODULES = ("conftest.py", "gateway_program.py", "process_fleet.py", "waiting.py")
SUITE = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


def run_suite(folder, listed, suite=SUITE):
    """Play a small suite beside a list of its own; its exit code and what it printed."""
    (folder / "tests").mkdir()
    for name in COPIED_MODULES:
        shutil.copy(TESTS / name, folder / "tests" / name)
    (folder / "tests" / "test_small.py").write_text(suite)
    (folder / "KNOWN-RED.txt").write_text(listed)
    (folder / "pytest.ini").write_text(f"[pytest]\npythonpath = {TESTS.parent} tests\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    ran = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    return ran.returncode, ran.stdout + ran.stderr


def test_a_listed_failure_is_printed_and_passed_over(tmp_path):
    code, said = run_suite(tmp_path, "tests/test_small.py::test_red | not mended yet | issue 1\n")
    assert (
        code == 0
        and "KNOWN-RED tests/test_small.py::test_red: fails as known (not mended yet; issue 1)" in said
    )


def test_a_failure_that_is_not_listed_fails(tmp_path):
    code, _ = run_suite(tmp_path, "tests/test_small.py::test_green | not mended yet | issue 1\n")
    assert code == 1


def test_a_listed_test_that_passes_is_told(tmp_path):
    code, said = run_suite(
        tmp_path,
        "tests/test_small.py::test_green | not mended yet | issue 1\n",
        SUITE.replace("False", "True"),
    )
    assert code == 0 and "test_green: passes again" in said


@pytest.mark.parametrize(
    "text", ["tests/test_small.py::test_red\n", "a | b | c\nd | e | f\ng | h | i\nj | k | l\n", "a | | c\n"]
)
def test_a_list_that_is_too_long_or_says_too_little_is_refused(text):
    with pytest.raises(pytest.UsageError):
        read_known_failures(text)
