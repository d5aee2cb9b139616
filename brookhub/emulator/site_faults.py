"""Faults of an emulated site: killed or suspended limiters, partitions, lost messages, failed machines."""

from __future__ import annotations

from .site import Site
from .site_links import DETECTION_TIME

DETECTION_AFTER_SUSPENSION = 0.01  # Seconds from the end of a suspension until membership sees the limiter.
SECONDS_PER_MINUTE = 60


class SiteFaults:
    """Injector of faults into a site. Each fault is cleared after its duration."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.engine = site.engine
        self.links = site.links

    def kill(self, name: str, back_after: float) -> None:
        """Kill a limiter and start it again after `back_after` seconds."""
        limiter = self.site.limiters[name]
        if not limiter.is_alive:
            return
        limiter.is_alive = False
        self._detect_absence(name)

        def restart() -> None:
            limiter.start()
            self.links.remove_gone(name)

        self.engine.call_later(back_after, restart)

    def suspend(self, name: str, seconds: float) -> None:
        """Suspend a limiter for `seconds`."""
        limiter = self.site.limiters[name]
        limiter.suspended_until = self.engine.now + seconds
        self._detect_absence(name)

        def resume() -> None:
            if limiter.is_running() and name in self.links.gone:
                self.links.remove_gone(name)

        self.engine.call_later(seconds + DETECTION_AFTER_SUSPENSION, resume)

    def _detect_absence(self, name: str) -> None:
        """Make membership detect a limiter's absence after DETECTION_TIME if it is still not running."""
        limiter = self.site.limiters[name]
        incarnation = limiter.incarnation

        def detect() -> None:
            if limiter.incarnation == incarnation and not limiter.is_running():
                self.links.add_gone(name)

        self.engine.call_later(DETECTION_TIME, detect)

    def fail_machine(self, machine: str, seconds: float) -> None:
        """Make a machine fail for `seconds`, unless it is out for work or already down."""
        site = self.site
        if not site.is_up[machine] or machine in site.out_since:
            return
        site.set_machine_up(machine, False, drain_time=0.0)

        def come_back() -> None:
            if machine not in site.worked_on:  # Otherwise the end of the work brings it back.
                site.set_machine_up(machine, True)

        self.engine.call_later(seconds, come_back)

    def schedule_random(self, faults_per_minute: float, until: float) -> None:
        """Inject random faults at a mean rate until time `until` (s) or the end of the plan."""
        if faults_per_minute <= 0:
            return
        rng = self.site.rng
        rate = faults_per_minute / SECONDS_PER_MINUTE

        def inject_and_schedule_next() -> None:
            if self.engine.now > until or self.site.ended_at is not None:
                return
            self._inject_random()
            self.engine.call_later(rng.expovariate(rate), inject_and_schedule_next)

        self.engine.call_later(rng.expovariate(rate), inject_and_schedule_next)

    def _inject_random(self) -> None:
        """Inject one random fault. Half of the faults of limiters affect a voter."""
        rng = self.site.rng
        names = self.site.limiter_names()
        voters = list(self.site.plan.voters)
        kind = rng.random()
        name = rng.choice(voters if rng.random() < 0.5 else names)
        if kind < 0.25:
            self.kill(name, 0.5 + 3 * rng.random())
        elif kind < 0.5:
            self.suspend(name, 1 + 9 * rng.random())
        elif kind < 0.65 and not self.links.side:
            side = set(rng.sample(names, rng.randrange(1, len(names) // 2 + 1)))
            self.links.partition(side, 3 + 9 * rng.random())
        elif kind < 0.8:
            self.links.lose(0.1 + 0.3 * rng.random(), 2 + 6 * rng.random())
        else:
            self.fail_machine(rng.choice(self.site.plan.machines).name, 3 + 9 * rng.random())
