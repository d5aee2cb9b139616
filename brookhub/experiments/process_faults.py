"""Faults of an experiment, played on a process lab. Each clears itself after its time."""

from __future__ import annotations

import signal
from typing import Any, Callable, Sequence

from ..config.models import FaultSpec
from ..emulator.faults import pick_share
from ..model import ServerState
from .errors import ExperimentError
from .limiter_process import Limiter

RESTART_AFTER = 1.0  # s a restarted limiter is away, as in the emulator


class ProcessFaults:
    """Plays faults on a `processes.ProcessFleet`, whose chance it uses.

    What takes a while runs in threads of the lab's.
    """

    def __init__(self, lab: Any) -> None:
        self.lab = lab
        self.actions: dict[str, Callable[[FaultSpec], None]] = {
            "kill_limiters": self.end_limiters,
            "restart_limiters": self.end_limiters,
            "term_limiters": self.end_limiters,
            "stall_limiters": self.stall_limiters,
            "split_limiters": self.cut_peers,
            "cut_peers": self.cut_peers,
            "lose_packets": self.lose_packets,
            "cut_links": self.cut_links,
            "reset_links": self.change_links,
            "delay_links": self.change_links,
            "drain_servers": self.drain_servers,
            "replace_servers": self.drain_servers,
            "zone_lost": self.lose_zone,
            "slow_servers": self.spoil_servers,
            "failing_servers": self.spoil_servers,
            "silent_servers": self.spoil_servers,
            "counter_down": self.stop_counter,
            "counter_wipe": lambda fault: self.lab.counter.wipe(),
            "counter_lose": lambda fault: self.lab.counter.lose(fault.share),
            "counter_swap": self.swap_counter,
            "counter_late": self.delay_counter,
            "counter_split": self.split_counter,
            "lose_answers": self.lose_answers,
        }

    def play(self, fault: FaultSpec) -> None:
        """Play a fault now; what ends after `for_s` is cleared then. Raises ExperimentError."""
        self.lab.note(f"fault {fault.action} {fault.share} for {fault.for_s} s")
        action = self.actions.get(fault.action)
        if action is None:
            raise ExperimentError(f"{fault.action}: not played on processes, only in the emulator")
        action(fault)

    def pick(self, items: Sequence[Any], share: float) -> list[Any]:
        """A share of the items by the lab's chance."""
        return pick_share(self.lab.rng, items, share)

    def living(self) -> list[Limiter]:
        """The limiters that run."""
        return [one for one in self.lab.limiters if one.alive()]

    def ready_servers(self) -> list[int]:
        """The servers that neither drain nor are gone."""
        return [ident for ident, one in self.lab.servers.items() if one.model.state is ServerState.READY]

    # limiters

    def end_limiters(self, fault: FaultSpec) -> None:
        """By SIGKILL or SIGTERM, and started again where the action says so."""
        number = signal.SIGTERM if fault.action == "term_limiters" else signal.SIGKILL
        back = None if fault.action == "kill_limiters" else RESTART_AFTER
        for one in self.pick(self.living(), fault.share):
            self.lab.after(0.0, lambda one=one: self.lab.kill(one, back, number))

    def stall_limiters(self, fault: FaultSpec) -> None:
        """They are stopped for a while."""
        for one in self.pick(self.living(), fault.share):
            self.lab.after(0.0, lambda one=one: self.lab.stall(one, fault.for_s))

    # links

    def mesh(self, fault: FaultSpec) -> Any:
        """The relays of the peers' datagrams. Raises ExperimentError where there are none."""
        if not self.lab.mesh:
            raise ExperimentError(
                f"{fault.action}: the experiment's fleet has no membership, so no peer links"
            )
        return self.lab.mesh

    def lose_packets(self, fault: FaultSpec) -> None:
        """Datagrams between limiters are lost, doubled and reordered."""
        mesh = self.mesh(fault)
        mesh.set_all(loss=fault.share, duplicate=fault.share, reorder=fault.share)
        self.lab.after(fault.for_s, mesh.clear)

    def cut_peers(self, fault: FaultSpec) -> None:
        """Datagrams do not pass between two sides, or one way only."""
        mesh = self.mesh(fault)
        side = {f"n{one.index}" for one in self.pick(self.lab.limiters, fault.share)}
        for (a, b), way in mesh.directions.items():
            out, into = a in side and b not in side, b in side and a not in side
            if (out and fault.way != "back") or (into and fault.way != "forward"):
                way.set(cut=True)
        self.lab.after(fault.for_s, mesh.clear)

    def cut_links(self, fault: FaultSpec) -> None:
        """Links from limiters to servers carry nothing."""
        servers: dict[str, list[int]] = {}
        for address, ident in self.pick(sorted(self.lab.links), fault.share):
            servers.setdefault(address, []).append(ident)
        for one in self.lab.limiters:
            if one.address in servers:
                cut = servers[one.address]
                self.lab.after(0.0, lambda one=one, cut=cut: self.lab.cut(one, cut, fault.way, fault.for_s))

    def change_links(self, fault: FaultSpec) -> None:
        """Links from limiters to servers are reset, or delay what they carry."""
        changed = [self.lab.links[key] for key in self.pick(sorted(self.lab.links), fault.share)]
        what = {"reset": 1.0} if fault.action == "reset_links" else {"delay": fault.delay_s}
        for link in changed:
            link.set(fault.way, **what)
        self.lab.after(fault.for_s, lambda: [link.clear() for link in changed])

    # servers

    def drain_servers(self, fault: FaultSpec) -> None:
        """They drain and are gone after a while, replaced by cold ones where the action says so."""
        drained = self.pick(self.ready_servers(), fault.share)
        self.lab.drain(drained)
        self.lab.after(fault.for_s, lambda: self.lab.gone(drained, fault.action == "replace_servers"))

    def lose_zone(self, fault: FaultSpec) -> None:
        """All servers of a zone refuse for a while and come back cold."""
        lost = [ident for ident in self.ready_servers() if self.lab.servers[ident].model.zone == fault.zone]
        for ident in lost:
            self.lab.dead(ident)
        self.lab.after(fault.for_s, lambda: self.lab.returned(lost))

    def spoil_servers(self, fault: FaultSpec) -> None:
        """They are slow, fail or stay silent for a while."""
        hit = [self.lab.servers[ident].model for ident in self.pick(self.ready_servers(), fault.share)]
        for model in hit:
            model.mode, model.slow_factor = fault.action.removesuffix("_servers"), fault.factor
        self.lab.after(fault.for_s, lambda: [setattr(model, "mode", "ok") for model in hit])

    # the counter

    def stop_counter(self, fault: FaultSpec) -> None:
        """It answers nothing for a while."""
        self.lab.counter.mode = "silent"
        self.lab.after(fault.for_s, lambda: setattr(self.lab.counter, "mode", "ok"))

    def swap_counter(self, fault: FaultSpec) -> None:
        """An empty one takes its place for a while."""
        self.lab.counter.swap()
        self.lab.after(fault.for_s, self.lab.counter.restore)

    def delay_counter(self, fault: FaultSpec) -> None:
        """It answers later for a while."""
        counter = self.lab.counter
        counter.delay += fault.delay_s
        self.lab.after(fault.for_s, lambda: setattr(counter, "delay", counter.delay - fault.delay_s))

    def split_counter(self, fault: FaultSpec) -> None:
        """Half of the limiters reach another one for a while."""
        odd = {one.address for one in self.lab.limiters if one.index % 2}
        self.lab.counter.split(lambda limiter: int(limiter in odd))
        self.lab.after(fault.for_s, self.lab.counter.heal)

    def lose_answers(self, fault: FaultSpec) -> None:
        """Answers of servers and counter get lost for a while."""
        hit = [self.lab.counter, *self.lab.servers.values()]
        for one in hit:
            one.answer_loss = fault.share
        self.lab.after(fault.for_s, lambda: [setattr(one, "answer_loss", 0.0) for one in hit])
