"""Checks of the upgrade itself: limiters read the ledger that the other version wrote."""

from __future__ import annotations

import json
import signal
from time import sleep

from brookhub.experiments.limiter_process import Limiter

from .limiter_logs import LOG_EVENTS, ledger_fields, lines_of
from .mixed_fleet import MixedFleet, knows_all
from .settings import RESTART_DELAY_S, SETTLE_S, STEP_TIMEOUT_S


def check_swapped_versions(fleet: MixedFleet) -> None:
    """Check that limiters restarted with the other version's code read the ledger that exists."""
    swapped = fleet.limiters[-2:]
    reads = [len(lines_of(limiter, LOG_EVENTS.ledger_read)) for limiter in swapped]
    for limiter in swapped:
        swap_version(fleet, limiter)
    for limiter, reads_before in zip(swapped, reads, strict=True):
        check_ledger_read(fleet, limiter, reads_before)
    sleep(SETTLE_S)  # The others must first log that these were absent.
    fleet.check_all("upgrade: every limiter lists all others again", knows_all, STEP_TIMEOUT_S)


def swap_version(fleet: MixedFleet, limiter: Limiter) -> None:
    """Restart a limiter with the code of the version that it does not run."""
    upgraded = fleet.version(limiter) == "other"
    limiter.source_folder = fleet.this_folder if upgraded else fleet.other_folder
    fleet.processes.kill(limiter, RESTART_DELAY_S, signal.SIGTERM)


def check_ledger_read(fleet: MixedFleet, limiter: Limiter, reads_before: int) -> None:
    """Check that a restarted limiter has read an intact ledger with records.

    `reads_before` is the number of its log lines of a ledger read before the restart.
    """
    lines = lines_of(limiter, LOG_EVENTS.ledger_read)
    read = lines[-1] if len(lines) > reads_before else {}
    fields = ledger_fields(read)
    intact = fields["corrupt_records"] == 0 and fields["truncated_bytes"] == 0
    sound = bool(read) and fields["records"] > 0 and intact
    detail = f"n{limiter.index}, now of the {fleet.version(limiter)} version: {json.dumps(fields)}"
    fleet.check("upgrade: the other version's ledger is read", sound, detail)
