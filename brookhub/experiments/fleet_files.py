"""Files of a fleet on processes: the limiters' start files and the operator files that these name."""

from __future__ import annotations

import json
import random
import signal
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from ..config.models import Experiment
from ..fault_injection import TcpLink, UdpMesh
from ..protocol.server_list import format_address
from .limiter_process import Limiter
from .start_files import OperatorFiles, StartAddresses, start_file

FLEET_NAME = "lab"  # Name of the fleet in the membership protocol; the hashes of coordination depend on it.


@dataclass(frozen=True)
class FleetLinks:
    """The links of a fleet's limiters to counter, discovery and each other.

    Attributes:
        counter: Links to the counter, by the limiter's IP address.
        discovery: Links to discovery, by the limiter's IP address.
        mesh: Links between the members, None if membership is disabled.
    """

    counter: dict[str, TcpLink]
    discovery: dict[str, TcpLink]
    mesh: UdpMesh | None


class FleetFiles:
    """Writer of the files of a fleet's limiters, all in one folder."""

    def __init__(self, experiment: Experiment, folder: Path, seed: int) -> None:
        self.experiment = experiment
        self.folder = folder
        self.seed = seed

    def write(self, limiter: Limiter, limiters: Sequence[Limiter], links: FleetLinks) -> None:
        """Write the start file of a limiter and the operator files that it names."""
        addresses = StartAddresses(
            listen=format_address(limiter.endpoint),
            discovery=links.discovery[limiter.address].address,
            counter=links.counter[limiter.address].address,
        )
        files = OperatorFiles(recovery=self.write_recovery(limiter))
        if links.mesh:
            files = OperatorFiles(
                membership=self.write_membership(limiter, limiters, links.mesh),
                maintenance=self.plan_path(limiter),
                recovery=files.recovery,
            )
        rng = random.Random(f"{self.seed}/{limiter.index}/{limiter.starts}")
        content = start_file(self.experiment, limiter.index, rng.getrandbits(62), addresses, files)
        limiter.config_path.write_text(json.dumps(content))

    def write_recovery(self, limiter: Limiter) -> Path | None:
        """Write the file of the counter's recovery and return its path, None if recovery is disabled.

        If ledgers are kept on disk (`ledgers_last`), a limiter's ledger survives its restarts.
        """
        spec = self.experiment.fleet.counter
        if not spec.recovery:
            return None
        path = self.folder / f"{limiter.name}.recovery.toml"
        lines = [f"beat_s = {spec.beat_s}"]
        if spec.ledgers_last:
            lines.append(f'ledger = "{self.folder / limiter.name}.ledger"')
        path.write_text("\n".join(lines) + "\n")
        return path

    def write_membership(self, limiter: Limiter, limiters: Sequence[Limiter], mesh: UdpMesh) -> Path:
        """Write the membership file and return its path.

        The file contains the limiter's own endpoint and the address of the relay to each peer.
        """
        spec = self.experiment.fleet.membership
        lines = [
            f'fleet = "{FLEET_NAME}"',
            f'name = "{limiter.name}"',
            f'listen = "{format_address(limiter.udp_endpoint)}"',
            f"period_s = {spec.period_s}",
            f"signals = {str(spec.signals).lower()}",
            f"subsets = {str(spec.subsets).lower()}",
        ]
        for peer in limiters:
            if peer is not limiter:
                address = mesh.address(limiter.name, peer.name)
                lines += ["[[peers]]", f'name = "{peer.name}"', f'address = "{address}"']
        path = self.folder / f"{limiter.name}.membership.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def plan_path(self, limiter: Limiter) -> Path:
        """Return the path of a limiter's maintenance plan; the file may be missing."""
        return self.folder / f"{limiter.name}.plan.toml"

    def give_plan(self, limiter: Limiter, text: str) -> None:
        """Submit a plan to a limiter as an operator does: write the file, then send SIGHUP."""
        self.plan_path(limiter).write_text(text)
        limiter.send_signal(signal.SIGHUP)
