"""The run of the trial: all steps one after another, concurrently with the load."""

from __future__ import annotations

import tempfile
import threading
from pathlib import Path
from time import sleep

from brookhub.experiments.outcome import Outcome
from brookhub.experiments.processes import ProcessFleet

from .checkout import ROOT, checkout, imported_from, revision
from .gossip_checks import check_ejections
from .ledger_checks import check_swapped_versions
from .maintenance_checks import check_maintenance
from .membership_checks import check_membership, check_subsets
from .mixed_fleet import MixedFleet
from .outcome_checks import check_outcome
from .recovery_checks import check_counter_recovery
from .report import Report
from .settings import LIMITERS, SETTLE_S, trial_experiment

STEPS = (
    check_membership,
    check_subsets,
    check_ejections,
    check_counter_recovery,
    check_maintenance,
    check_swapped_versions,
)


class Trial:
    """One run on a fleet of both versions."""

    def __init__(self, fleet: MixedFleet) -> None:
        self.fleet = fleet
        self.error: BaseException | None = None  # Exception that a step raised.

    def run(self) -> Outcome:
        """Run all steps concurrently with the load, then check the outcome."""
        processes = self.fleet.processes
        start = processes.start

        def start_with_steps() -> None:
            start()
            threading.Thread(target=self.run_steps, daemon=True).start()

        processes.start = start_with_steps  # type: ignore[method-assign]  # The load starts right after `start`.
        outcome = processes.run()
        if self.error is not None:
            raise self.error
        check_outcome(self.fleet, outcome)
        return outcome

    def run_steps(self) -> None:
        """Run all steps, in a thread of its own. `run` raises the exception if a step raised one."""
        try:
            for step in STEPS:
                step(self.fleet)
                sleep(SETTLE_S)
        except BaseException as error:
            self.error = error
        finally:
            load = self.fleet.processes.load
            if load is not None:
                load.stop.set()


def run_trial(commit: str, folder: Path) -> Report:
    """Run the trial with the limiters' files in a folder, and return the results of its checks."""
    with tempfile.TemporaryDirectory() as temporary, checkout(commit, Path(temporary) / "other") as work_tree:
        other = work_tree.resolve()
        sources = [ROOT if index % 2 == 0 else other for index in range(LIMITERS)]
        with ProcessFleet(trial_experiment(), folder, seed=1, source_folders=sources) as processes:
            fleet = MixedFleet(processes, ROOT, other)
            found = [imported_from(source) for source in (ROOT, other)]
            detail = f"this {revision(ROOT)}, other {revision(other)}"
            fleet.check("versions: each half runs its own code", found == [ROOT, other], detail)
            Trial(fleet).run()
    return fleet.report
