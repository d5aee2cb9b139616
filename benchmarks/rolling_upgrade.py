"""Trial of a rolling upgrade: limiters of two versions of the program form one fleet on loopback.

    PYTHONPATH=. python benchmarks/rolling_upgrade.py --with COMMIT [--keep FOLDER]

Run it from the root of a checkout. COMMIT is checked out in a git worktree in a temporary folder, which is
removed at the end. Limiters with an even index run the code of this checkout, the others that of COMMIT. The
load, servers, counter, discovery and invariant checker are those of this checkout. The trial uses only the
stable interfaces of COMMIT: the command `python -m brookhub`, the start file and the operator files, and the
log (`LOG_EVENTS` in upgrade_trial/limiter_logs.py). The package upgrade_trial contains the steps and checks.

These steps run one after another under load:

- Membership: all limiters know each other.
- Subsets: each limiter sends only to its own subset of the servers.
- Ejection: a server fails while only one version has load, and all limiters eject it because of gossip. The
  same is repeated with load on the other version only.
- Recovery: the counter is wiped.
- Maintenance: a plan is carried out, whose voters have a majority only if both versions vote. Its leader is
  restarted until both versions have led it.
- Upgrade: one limiter of each version is restarted with the code of the other version. It reads the ledger
  that the other version wrote.

The trial prints a line for each check and exits with 1 if one failed. It takes one to two minutes.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

from upgrade_trial.trial import run_trial


def main() -> int:
    """Run the trial and return the exit code."""
    parser = argparse.ArgumentParser(description="Limiters of two versions form one fleet.")
    parser.add_argument("--with", dest="commit", required=True, help="the other version's commit")
    parser.add_argument(
        "--keep",
        type=Path,
        help="folder for start files and logs (default: a temporary folder, which is removed)",
    )
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = (options.keep or Path(temporary)).resolve()
        report = run_trial(options.commit, folder)
    print(report.summary())
    return 1 if report.failed() else 0


if __name__ == "__main__":
    sys.exit(main())
