"""The code of the two versions: this checkout, and a git worktree of the other version's commit."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent  # Folder of this checkout.


@contextmanager
def checkout(commit: str, folder: Path) -> Iterator[Path]:
    """Create a git worktree of a commit, and remove it at the end.

    Raises subprocess.CalledProcessError if git fails.
    """
    git = ["git", "-C", str(ROOT), "worktree"]
    subprocess.run([*git, "add", "--quiet", "--detach", str(folder), commit], check=True)
    try:
        yield folder
    finally:
        subprocess.run([*git, "remove", "--force", str(folder)], check=True)


def imported_from(folder: Path) -> Path:
    """Return the folder from which a limiter that is started in `folder` imports the package."""
    code = "import brookhub; print(brookhub.__file__)"
    printed = subprocess.run(
        [sys.executable, "-c", code], cwd=folder, check=True, capture_output=True, text=True
    ).stdout
    return Path(printed.strip()).resolve().parent.parent


def revision(folder: Path) -> str:
    """Return the commit that is checked out in a folder."""
    command = ["git", "-C", str(folder), "describe", "--always", "--dirty"]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout.strip()
