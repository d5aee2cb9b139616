"""Maintenance of one limiter on an emulated site: its port, a drifting clock and restarts without state."""

from __future__ import annotations

from random import Random
from typing import Any, Protocol

from ..maintenance import Machine, Maintenance, Message, Settings, TrafficSample
from .engine import Engine

TICK_INTERVAL = 0.5  # Seconds between two ticks of a limiter's maintenance.
MAX_CLOCK_DRIFT = 0.05  # Maximum share by which a clock is fast or slow.


class SiteServices(Protocol):
    """The interface of the site that a limiter uses (site.Site)."""

    engine: Engine
    rng: Random
    settings: Settings
    listed_up: dict[str, bool]

    def limiter_names(self) -> list[str]:
        """Return the names of all limiters."""

    def visible_limiters(self, name: str) -> list[str]:
        """Return the other limiters that the membership of a limiter sees as present."""

    def send(self, source: str, peer: str, message: Message) -> None:
        """Send a message from one limiter to another."""

    def withhold_traffic(self, name: str, machines: tuple[str, ...]) -> None:
        """Make a limiter send no traffic to these machines."""

    def is_idle(self, name: str, machine: Machine) -> bool:
        """Return whether a limiter has no attempt in flight at a machine."""

    def on_event(self, name: str, event: str, fields: dict[str, Any]) -> None:
        """Handle an event that a limiter logs."""


class SiteLimiter:
    """Maintenance of one limiter and its port (maintenance.MaintenancePort).

    `incarnation` increases with each start; ticks and messages of an earlier incarnation are dropped. While
    the limiter is suspended, ticks and messages wait. `rate` is the speed of its clock relative to simulated
    time.
    """

    core: Maintenance

    def __init__(self, site: SiteServices, name: str) -> None:
        self.site = site
        self.name = name
        self.is_alive = True
        self.suspended_until = 0.0
        self.incarnation = 0
        self.rate = 1.0 + MAX_CLOCK_DRIFT * (2 * site.rng.random() - 1)

    def start(self) -> None:
        """Start the limiter without any earlier state."""
        self.incarnation += 1
        self.is_alive = True
        self.core = Maintenance(self, self.name, self.site.settings, False)
        self._tick(self.incarnation)

    def is_running(self) -> bool:
        """Return whether it is alive and not suspended."""
        return self.is_alive and self.site.engine.now >= self.suspended_until

    def is_current(self, incarnation: int) -> bool:
        """Return whether it is alive and in this incarnation."""
        return self.is_alive and incarnation == self.incarnation

    def _tick(self, incarnation: int) -> None:
        """Run the periodic step of maintenance and schedule the next one after TICK_INTERVAL."""
        engine = self.site.engine
        if not self.is_current(incarnation):
            return
        if engine.now < self.suspended_until:
            engine.call_at(self.suspended_until, lambda: self._tick(incarnation))
            return
        self.core.tick()
        engine.call_later(TICK_INTERVAL / self.rate, lambda: self._tick(incarnation))

    def deliver(self, source: str, message: Message, incarnation: int) -> None:
        """Deliver a message, unless the incarnation to which it was sent has ended."""
        engine = self.site.engine
        if not self.is_current(incarnation):
            return
        if engine.now < self.suspended_until:
            engine.call_at(self.suspended_until, lambda: self.deliver(source, message, incarnation))
            return
        self.core.on_message(source, message)

    def acts_as_leader(self) -> bool:
        """Return whether it may act on the plan as leader now, by its own clock."""
        register = self.core.register
        return register is not None and register.proposer.may_act(self.now())

    def sees_plan_finished(self) -> bool:
        """Return whether the plan is finished according to its copy of the register."""
        register = self.core.register
        return register is not None and self.core.is_finished(register.value)

    # maintenance.MaintenancePort

    def now(self) -> float:
        """Return the time in seconds of its own clock, which drifts."""
        return self.site.engine.now * self.rate

    def present_peers(self) -> list[str]:
        """Return the other limiters that its membership sees as present."""
        return self.site.visible_limiters(self.name)

    def listed_peers(self) -> list[str]:
        """Return all other limiters of the site."""
        return [name for name in self.site.limiter_names() if name != self.name]

    def send(self, peer: str, message: Message) -> None:
        """Send a message to a peer."""
        self.site.send(self.name, peer, message)

    def machine_is_up(self, machine: Machine) -> bool:
        """Return whether the server list shows a machine's servers as up."""
        return self.site.listed_up[machine.name]

    def withhold_traffic(self, machines: tuple[str, ...]) -> None:
        """Send no traffic to these machines."""
        self.site.withhold_traffic(self.name, machines)

    def machine_is_idle(self, machine: Machine) -> bool:
        """Return whether this limiter has no attempt in flight at a machine."""
        return self.site.is_idle(self.name, machine)

    def recent_traffic(self) -> TrafficSample:
        """Return a sample without traffic."""
        return TrafficSample(0.0, 0.0, 0.0)

    def zone_load(self) -> dict[str, float]:
        """Return no loads, because the site has no load model."""
        return {}

    def log(self, event: str, **facts: Any) -> None:
        """Report an event to the site."""
        self.site.on_event(self.name, event, facts)
