"""Faults of an emulated site: limiters that end, stop or are cut off, lost messages, machines that fail."""

from __future__ import annotations

from .site import Site
from .site_links import DETECTION_TIME

AFTER_SUSPENSION = 0.01  # s after a suspension that membership sees a limiter again
SECONDS_A_MINUTE = 60


class SiteFaults:
    """Plays faults on a site, each of which ends by itself."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.engine = site.engine
        self.links = site.links

    def kill(self, name: str, back_after: float) -> None:
        """End a limiter; it starts again after `back_after` s."""
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
        """Stop a limiter for a while."""
        limiter = self.site.limiters[name]
        limiter.suspended_until = self.engine.now + seconds
        self._detect_absence(name)

        def resume() -> None:
            if limiter.is_running() and name in self.links.gone:
                self.links.remove_gone(name)

        self.engine.call_later(seconds + AFTER_SUSPENSION, resume)

    def _detect_absence(self, name: str) -> None:
        """Have membership notice later that a limiter does not run, if it still does not then."""
        limiter = self.site.limiters[name]
        incarnation = limiter.incarnation

        def detect() -> None:
            if limiter.incarnation == incarnation and not limiter.is_running():
                self.links.add_gone(name)

        self.engine.call_later(DETECTION_TIME, detect)

    def fail_machine(self, machine: str, seconds: float) -> None:
        """Let a machine that is not worked on fail for a while."""
        site = self.site
        if not site.is_up[machine] or machine in site.out_since:
            return
        site.set_machine_up(machine, False, drain_time=0.0)

        def come_back() -> None:
            if machine not in site.worked_on:  # else the end of the work brings it back
                site.set_machine_up(machine, True)

        self.engine.call_later(seconds, come_back)

    def schedule_random(self, faults_a_minute: float, until: float) -> None:
        """Play random faults at a mean rate until that time (s) or the end of the plan."""
        if faults_a_minute <= 0:
            return
        rng = self.site.rng
        rate = faults_a_minute / SECONDS_A_MINUTE

        def play_and_schedule_next() -> None:
            if self.engine.now > until or self.site.ended_at is not None:
                return
            self._play_random()
            self.engine.call_later(rng.expovariate(rate), play_and_schedule_next)

        self.engine.call_later(rng.expovariate(rate), play_and_schedule_next)

    def _play_random(self) -> None:
        """Play one fault at random; half of those of limiters hit a voter."""
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
