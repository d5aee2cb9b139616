"""Faults of an experiment, played on an emulated fleet. Each clears itself after its time."""

from __future__ import annotations

import random
from typing import Any, Callable, Sequence

from ..config.models import FaultSpec
from ..model import ServerState
from .limiter import Seat
from .world import ServerModel

RESTART_AFTER = 1.0  # s a restarted limiter is away: a process start


def pick_share(chance: random.Random, items: Sequence[Any], share: float) -> list[Any]:
    """A share of the items by chance: one at least, none where the share is 0."""
    count = min(len(items), max(1, round(share * len(items)))) if share else 0
    return chance.sample(items, count)


class FaultPlayer:
    """Plays faults on a `fleet.Fleet`; chance is the fleet's own, so that a run can be repeated."""

    def __init__(self, fleet: Any) -> None:
        self.fleet, self.engine = fleet, fleet.engine
        self.actions: dict[str, Callable[[FaultSpec], None]] = {
            "kill_limiters": self.kill_limiters,
            "restart_limiters": self.kill_limiters,
            "term_limiters": self.end_limiters,
            "stall_limiters": self.stall_limiters,
            "split_limiters": self.hurt_peers,
            "cut_peers": self.hurt_peers,
            "lose_packets": self.hurt_peers,
            "cut_links": self.cut_links,
            "drain_servers": self.drain_servers,
            "replace_servers": self.drain_servers,
            "zone_lost": self.lose_zone,
            "slow_servers": self.spoil_servers,
            "failing_servers": self.spoil_servers,
            "silent_servers": self.spoil_servers,
            "counter_down": self.stop_counter,
            "counter_wipe": lambda fault: self.fleet.counter.wipe(),
            "counter_lose": lambda fault: self.fleet.counter.lose(fault.share),
            "counter_swap": self.swap_counter,
            "counter_late": self.delay_counter,
            "counter_split": self.split_counter,
            "lose_answers": self.lose_answers,
        }

    def schedule(self, fault: FaultSpec) -> None:
        """Play a fault at its time."""
        self.engine.at(fault.at_s, lambda: self.play(fault))

    def play(self, fault: FaultSpec) -> None:
        """Play a fault now. Raises ValueError for one that only processes can have."""
        referee = self.fleet.referee
        referee.now = self.engine.now
        referee.note("fault", fault.action, fault.share, fault.zone, fault.for_s)
        action = self.actions.get(fault.action)
        if action is None:
            raise ValueError(f"{fault.action}: not played in the emulator, only on processes")
        action(fault)

    def pick(self, items: Sequence[Any], share: float) -> list[Any]:
        """A share of the items by the fleet's chance."""
        return pick_share(self.fleet.rng, items, share)

    def living(self) -> list[Seat]:
        """The limiters that run."""
        return [seat for seat in self.fleet.seats if seat.alive]

    def models(self) -> list[ServerModel]:
        """All servers that there have been."""
        return list(self.fleet.servers.models.values())

    # limiters

    def kill_limiters(self, fault: FaultSpec) -> None:
        """At one moment, with all that they hold."""
        for seat in self.pick(self.living(), fault.share):
            seat.kill()
            if fault.action == "restart_limiters":
                self.engine.after(RESTART_AFTER, lambda index=seat.index: self.fleet.restart(index))

    def end_limiters(self, fault: FaultSpec) -> None:
        """As planned: no new requests; gone when the longest one's time is over, then back."""
        longest = max(route.client_timeout for route in self.fleet.routes)
        for seat in self.pick(self.living(), fault.share):
            seat.closing = True
            if seat.peer:
                seat.peer.core.leave()
            self.engine.after(longest + 0.1, lambda seat=seat: self.replace_limiter(seat))

    def replace_limiter(self, seat: Seat) -> None:
        """End a limiter and start it anew."""
        seat.kill()
        self.engine.after(RESTART_AFTER, lambda: self.fleet.restart(seat.index))

    def stall_limiters(self, fault: FaultSpec) -> None:
        """They stand still for a while, as a stopped process does."""
        for seat in self.pick(self.living(), fault.share):
            seat.wakes = self.engine.now + fault.for_s
            if seat.peer:
                seat.peer.wakes = seat.wakes

    # links

    def hurt_peers(self, fault: FaultSpec) -> None:
        """Datagrams between limiters are lost, or do not pass between two sides."""
        net = self.fleet.net
        if not net:
            raise ValueError(f"{fault.action}: the experiment's fleet has no membership, so no peer links")
        if fault.action == "lose_packets":
            net.loss = net.doubled = net.reordered = fault.share
        else:
            side = {f"n{seat.index}" for seat in self.pick(self.fleet.seats, fault.share)}
            net.apart = lambda a, b: (
                (fault.way != "back" and a in side and b not in side)
                or (fault.way != "forward" and b in side and a not in side)
            )
        self.engine.after(fault.for_s, self.heal_peers)

    def heal_peers(self) -> None:
        """All datagrams arrive again."""
        net = self.fleet.net
        net.loss = net.doubled = net.reordered = 0.0
        net.apart = None

    def cut_links(self, fault: FaultSpec) -> None:
        """Links from limiters to servers carry nothing."""
        for seat in self.fleet.seats:
            for model in self.models():
                if self.fleet.rng.random() < fault.share:
                    seat.cut[model.id] = self.engine.now + fault.for_s

    # servers

    def drain_servers(self, fault: FaultSpec) -> None:
        """They drain and are gone after a while, replaced by cold ones where the action says so."""
        ready = [model for model in self.models() if model.state is ServerState.READY]
        drained = self.pick(ready, fault.share)
        for model in drained:
            model.state, model.drained_at = ServerState.DRAINING, self.engine.now
        self.fleet.discovery.changed(drained)
        replaced = fault.action == "replace_servers"
        self.engine.after(fault.for_s, lambda: self.remove_servers(drained, replaced))

    def remove_servers(self, drained: list[ServerModel], replaced: bool) -> None:
        """They are gone."""
        for model in drained:
            model.state = ServerState.GONE
        fresh = [self.fleet.add_server(model) for model in drained] if replaced else []
        self.fleet.discovery.changed(drained + fresh)

    def lose_zone(self, fault: FaultSpec) -> None:
        """All servers of a zone are dead for a while and come back cold."""
        lost = [model for model in self.models() if model.zone == fault.zone]
        for model in lost:
            model.mode = "dead"
        self.engine.after(fault.for_s, lambda: self.return_servers(lost))

    def return_servers(self, lost: list[ServerModel]) -> None:
        """Dead servers are back, and cold."""
        for model in lost:
            model.mode, model.started_at = "ok", self.engine.now
        self.fleet.discovery.changed(lost)

    def spoil_servers(self, fault: FaultSpec) -> None:
        """They are slow, fail or stay silent for a while."""
        hit = self.pick(self.models(), fault.share)
        for model in hit:
            model.mode, model.slow_factor = fault.action.removesuffix("_servers"), fault.factor
        self.engine.after(fault.for_s, lambda: self.mend_servers(hit))

    def mend_servers(self, hit: list[ServerModel]) -> None:
        """They work as they should again."""
        for model in hit:
            model.mode = "ok"

    # the counter

    def stop_counter(self, fault: FaultSpec) -> None:
        """It answers nothing for a while."""
        self.fleet.counter.down = True
        self.engine.after(fault.for_s, lambda: setattr(self.fleet.counter, "down", False))

    def swap_counter(self, fault: FaultSpec) -> None:
        """An empty one takes its place for a while."""
        self.engine.after(fault.for_s, self.fleet.counter.swap())

    def delay_counter(self, fault: FaultSpec) -> None:
        """It answers later for a while."""
        counter = self.fleet.counter
        counter.delay += fault.delay_s
        self.engine.after(fault.for_s, lambda: setattr(counter, "delay", counter.delay - fault.delay_s))

    def split_counter(self, fault: FaultSpec) -> None:
        """Half of the limiters reach another one for a while."""
        self.fleet.counter.split(True)
        self.engine.after(fault.for_s, lambda: self.fleet.counter.split(False))

    def lose_answers(self, fault: FaultSpec) -> None:
        """Answers of servers and counter get lost for a while."""
        self.set_lost_share(fault.share)
        self.engine.after(fault.for_s, lambda: self.set_lost_share(0.0))

    def set_lost_share(self, share: float) -> None:
        """So many of the answers get lost from now on."""
        self.fleet.servers.lost_share = self.fleet.counter.lost_share = share
