"""The list of known failures: only the tests on it may fail."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from conftest import read_known_failures

TESTS = Path(__file__).parent
# conftest.py and the modules of this folder that it imports
COPIED_MODULES = ("conftest.py", "gateway_program.py", "process_fleet.py", "routing_harness.py", "waiting.py")
SUITE = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


def run_suite(folder, known_failures, suite=SUITE):
    """Run a small test suite with its own list of known failures; return the exit code and the output."""
    (folder / "tests").mkdir()
    for name in COPIED_MODULES:
        shutil.copy(TESTS / name, folder / "tests" / name)
    (folder / "tests" / "test_small.py").write_text(suite)
    (folder / "KNOWN-RED.txt").write_text(known_failures)
    (folder / "pytest.ini").write_text(f"[pytest]\npythonpath = {TESTS.parent} tests\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    finished = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    return finished.returncode, finished.stdout + finished.stderr


def test_listed_failure_is_printed_and_does_not_fail_the_run(tmp_path):
    exit_code, output = run_suite(tmp_path, "tests/test_small.py::test_red | not fixed yet | issue 1\n")
    assert (
        exit_code == 0
        and "KNOWN-RED tests/test_small.py::test_red: fails as known (not fixed yet; issue 1)" in output
    )


def test_failure_that_is_not_listed_fails_the_run(tmp_path):
    exit_code, _ = run_suite(tmp_path, "tests/test_small.py::test_green | not fixed yet | issue 1\n")
    assert exit_code == 1


def test_listed_test_that_passes_is_reported(tmp_path):
    exit_code, output = run_suite(
        tmp_path,
        "tests/test_small.py::test_green | not fixed yet | issue 1\n",
        SUITE.replace("False", "True"),
    )
    assert exit_code == 0 and "test_green: passes again" in output


@pytest.mark.parametrize(
    "text", ["tests/test_small.py::test_red\n", "a | b | c\nd | e | f\ng | h | i\nj | k | l\n", "a | | c\n"]
)
def test_list_that_is_too_long_or_incomplete_is_rejected(text):
    with pytest.raises(pytest.UsageError):
        read_known_failures(text)
