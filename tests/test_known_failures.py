"""The list of known failures: only the tests on it may fail."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from known_failures import read_known_failures

TESTS = Path(__file__).parent
SUITE = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


def run_suite(folder, known_failures, suite=SUITE):
    """Run a small test suite with its own list of known failures; return the exit code and the output."""
    (folder / "tests").mkdir()
    shutil.copy(TESTS / "known_failures.py", folder / "tests")
    (folder / "tests" / "conftest.py").write_text('pytest_plugins = ["known_failures"]\n')
    (folder / "tests" / "test_small.py").write_text(suite)
    (folder / "KNOWN-RED.txt").write_text(known_failures)
    (folder / "pytest.ini").write_text(f"[pytest]\npythonpath = {TESTS.parent} tests\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    finished = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    return finished.returncode, finished.stdout + finished.stderr


def test_listed_failure_is_printed_and_does_not_fail_the_run(tmp_path):
    exit_code, output = run_suite(
        tmp_path, "tests/test_small.py::test_red | pytest, seed 1 | not fixed | issue 1\n"
    )
    assert exit_code == 0
    assert (
        "KNOWN-RED tests/test_small.py::test_red: fails as known (pytest, seed 1; not fixed; issue 1)"
        in output
    )


def test_failure_that_is_not_listed_fails_the_run(tmp_path):
    exit_code, _ = run_suite(tmp_path, "tests/test_small.py::test_green | pytest | not fixed | issue 1\n")
    assert exit_code == 1


def test_listed_test_that_passes_is_reported(tmp_path):
    exit_code, output = run_suite(
        tmp_path,
        "tests/test_small.py::test_green | pytest, seed 1 | not fixed | issue 1\n",
        SUITE.replace("False", "True"),
    )
    assert exit_code == 0 and "test_green: passes again" in output


@pytest.mark.parametrize(
    "text",
    ["tests/test_small.py::test_red\n", "a | b | c\n", "a | | c | d\n", "a | b | c | d\na | e | f | g\n"],
)
def test_list_with_an_incomplete_or_repeated_entry_is_rejected(text):
    with pytest.raises(pytest.UsageError):
        read_known_failures(text)


def test_list_may_have_any_number_of_entries():
    entries = [f"test_{number} | pytest, seed {number} | fails | issue 1" for number in range(9)]
    assert list(read_known_failures("\n".join(entries))) == [f"test_{number}" for number in range(9)]
