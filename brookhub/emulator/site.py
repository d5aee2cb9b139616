"""A plan of work on a site in simulated time.

The real maintenance of each limiter, words that get lost, clocks that run apart, people who work, machines
that fail by themselves.

`Site(...)` runs by itself, without calls (thousands of runs), or on a whole emulated Fleet
(`Site(fleet=...)`), where servers that are out really are. Who is present is told by an oracle that is DETECT
s late, as membership is. Times s (simulated).
"""

from __future__ import annotations

from random import Random

from ..maintenance import Machine, Maintenance, Message, Plan, Settings, TrafficSample
from ..model import ServerState
from .engine import Engine
from .world import ServerModel

DETECT = 2.0  # s until the others know that a limiter is gone, or back
DELAY, SPREAD = 0.0005, 0.001  # s that a word takes, and chance on top
TICK = 0.5  # s between a limiter's looks
LIST = 0.2  # s until discovery's list says that a machine drains, is gone or is back
GRACE = 1.0  # s from the drain's announcement to the machine's end
DRIFT = 0.05  # of the clocks, drawn evenly up to it


class Seat:
    """One limiter's maintenance: its port."""

    def __init__(self, site: "Site", name: str):
        self.site, self.name, self.alive, self.wakes, self.life = site, name, True, 0.0, 0
        self.rate = 1.0 + DRIFT * (2 * site.rng.random() - 1)
        self.held: tuple[str, ...] = ()
        self.core: Maintenance | None = None

    def begin(self, knows: bool = False) -> None:
        """Start, remembering nothing; `knows`: where all begin together."""
        self.life += 1
        self.alive, self.held = True, ()
        self.core = Maintenance(self, self.name, self.site.settings, knows)
        self.tick(self.life)

    def tick(self, life: int) -> None:
        """Its clock moves on."""
        if not self.alive or life != self.life:
            return
        engine = self.site.engine
        if engine.now < self.wakes:
            engine.at(self.wakes, lambda: self.tick(life))
            return
        self.core.tick()
        engine.after(TICK / self.rate, lambda: self.tick(life))

    def arrive(self, source: str, message, life: int) -> None:
        """A message arrives in this life."""
        if not self.alive or life != self.life:
            return
        if self.site.engine.now < self.wakes:
            self.site.engine.at(self.wakes, lambda: self.arrive(source, message, life))
            return
        self.core.received(source, message)

    # the port of maintenance

    def now(self) -> float:
        """Seconds on its own clock, which drifts."""
        return self.site.engine.now * self.rate

    def present_peers(self) -> list[str]:
        """Whom membership holds for there."""
        return self.site.seen_by(self.name)

    def listed_peers(self) -> list[str]:
        """All others of the fleet."""
        return [name for name in self.site.seats if name != self.name]

    def send(self, peer: str, message: Message) -> None:
        """Send a message to a peer."""
        self.site.send(self.name, peer, message)

    def machine_is_up(self, machine: Machine) -> bool:
        """Whether the list has a machine's servers."""
        return self.site.listed_up[machine.name]

    def withhold_traffic(self, machines: tuple[str, ...]) -> None:
        """Keep off these machines."""
        self.held = machines
        self.site.held(self.name, machines)

    def machine_is_idle(self, machine: Machine) -> bool:
        """Whether nothing of this one is out there."""
        return self.site.quiet(self.name, machine)

    def recent_traffic(self) -> TrafficSample:
        """Nothing is judged by answers here."""
        return TrafficSample(0.0, 0.0, 0.0)

    def zone_load(self) -> dict[str, float]:
        """No load to go by."""
        return {}

    def log(self, event: str, **facts) -> None:
        """Tell the site what happened."""
        self.site.heard(self.name, event, facts)


class Site:
    """Machines, the limiters that settle who goes out, and people who work.

    `how`: "agreed" (maintenance), "timetable" (K at a time at fixed times, whatever happens) or "alone"
    (whoever has a vote takes the next when it sees fewer than K out by the list).

    `breaks`: what went wrong, in words; `ended`: s when the plan was done; `most`: machines out at once.
    """

    def __init__(
        self,
        plan: Plan,
        limiters: int = 200,
        seed: int = 1,
        how: str = "agreed",
        work_s: float = 6.0,
        lease: float = 3.0,
        fleet=None,
        begins: float = 5.0,
    ):
        self.plan, self.how, self.work_s, self.fleet = plan, how, work_s, fleet
        self.engine = fleet.engine if fleet else Engine()
        self.rng = Random(f"site/{seed}")
        self.settings = Settings(lease_s=lease, request_timeout_s=3.0, announce_interval_s=0.5)
        # gone: limiter -> s since when; side: one side of a split
        self.loss, self.side, self.gone = (
            0.0,
            set(),
            {},
        )
        self.up = {one.name: True for one in plan.machines}
        self.listed_up = dict(self.up)
        self.working: set[str] = set()  # down for work, not by themselves
        self.out: dict[str, float] = {}  # machine -> since when somebody may work on it
        self.waits: dict[str, float] = {}  # machine -> until when somebody may begin
        self.breaks, self.log, self.ended, self.most, self.done = [], [], None, 0, set()
        self.views: dict[str, list[str]] = {}
        self.seats = {f"n{n}": Seat(self, f"n{n}") for n in range(limiters)}
        for seat in self.seats.values():
            seat.begin()
        if how == "agreed":
            self.engine.at(
                begins, lambda: self.seats[self.rng.choice(list(self.seats))].core.submit_plan(plan)
            )
        elif how == "timetable":
            self.engine.at(begins, lambda: self.timetable(0))
        else:
            for name in plan.voters:
                self.engine.at(begins + self.rng.random(), lambda name=name: self.alone(name))

    # links

    def send(self, source: str, peer: str, message) -> None:
        """Carry a message, as far as the links allow."""
        if self.loss and self.rng.random() < self.loss or (source in self.side) != (peer in self.side):
            return
        seat = self.seats[peer]
        life = seat.life
        self.engine.after(DELAY + SPREAD * self.rng.random(), lambda: seat.arrive(source, message, life))

    def seen_by(self, name: str) -> list[str]:
        """Whom a limiter sees."""
        mine = name in self.side
        key = f"{mine}"
        if key not in self.views:
            self.views[key] = [
                other
                for other, seat in self.seats.items()
                if other not in self.gone and (other in self.side) == mine
            ]
        return [other for other in self.views[key] if other != name]

    def told(self) -> None:
        """Who is present changed; the others know DETECT s later."""
        self.views.clear()

    # faults

    def kill(self, name: str, back_s: float) -> None:
        """End a limiter; it is back after a while."""
        seat = self.seats[name]
        if not seat.alive:
            return
        seat.alive = False
        self.gone_later(name)

        def back() -> None:
            seat.begin()
            self.gone.pop(name, None)
            self.told()

        self.engine.after(back_s, back)

    def gone_later(self, name: str) -> None:
        """Membership finds out that a limiter is gone."""
        life = self.seats[name].life

        def known() -> None:
            seat = self.seats[name]
            if seat.life == life and (not seat.alive or self.engine.now < seat.wakes):
                self.gone[name] = self.engine.now
                self.told()

        self.engine.after(DETECT, known)

    def stall(self, name: str, seconds: float) -> None:
        """A limiter stands still for a while."""
        seat = self.seats[name]
        seat.wakes = self.engine.now + seconds
        self.gone_later(name)

        def woke() -> None:
            if self.engine.now >= seat.wakes and seat.alive and self.gone.pop(name, None) is not None:
                self.told()

        self.engine.after(seconds + 0.01, woke)

    def split(self, side: set[str], seconds: float) -> None:
        """Two sides hear nothing of each other for a while."""
        self.side = set(side)
        self.engine.after(DETECT, self.told)

        def heal() -> None:
            self.side = set()
            self.told()

        self.engine.after(seconds, heal)

    def lose(self, share: float, seconds: float) -> None:
        """Messages get lost for a while."""
        self.loss = share
        self.engine.after(seconds, lambda: setattr(self, "loss", 0.0))

    def fail(self, machine: str, seconds: float) -> None:
        """A machine goes down by itself and comes back."""
        if not self.up[machine] or machine in self.out:
            return
        self.set_up(machine, False, grace=0.0)

        def back() -> None:
            if machine not in self.working:  # who works on it brings it back
                self.set_up(machine, True)

        self.engine.after(seconds, back)

    def faults(self, a_minute: float, until: float) -> None:
        """Random faults, so many a minute, until then; every one is cleared."""
        if a_minute <= 0:
            return
        chance = self.rng

        def one() -> None:
            if self.engine.now > until or self.ended is not None:
                return
            names, voters = list(self.seats), list(self.plan.voters)
            what, whom = chance.random(), chance.choice(voters if chance.random() < 0.5 else names)
            if what < 0.25:
                self.kill(whom, 0.5 + 3 * chance.random())
            elif what < 0.5:
                self.stall(whom, 1 + 9 * chance.random())
            elif what < 0.65 and not self.side:
                self.split(
                    set(chance.sample(names, chance.randrange(1, len(names) // 2 + 1))),
                    3 + 9 * chance.random(),
                )
            elif what < 0.8:
                self.lose(0.1 + 0.3 * chance.random(), 2 + 6 * chance.random())
            else:
                self.fail(chance.choice(self.plan.machines).name, 3 + 9 * chance.random())
            self.engine.after(chance.expovariate(a_minute / 60), one)

        self.engine.after(chance.expovariate(a_minute / 60), one)

    # machines and the people who work on them

    def set_up(self, machine: str, up: bool, grace: float = GRACE) -> None:
        """Announce it to discovery, then do it."""

        def listed() -> None:
            self.listed_up[machine] = up

        servers = self.plan.machine(machine).servers
        self.engine.after(LIST, listed)
        if self.fleet:
            models = [self.fleet.servers.models[int(name[2:])] for name in servers]
            self.on_fleet(models, up, grace)
        self.up[machine] = up

    def on_fleet(self, models: list[ServerModel], up: bool, grace: float) -> None:
        """Servers of an emulated fleet go down or come back."""
        fleet, now = self.fleet, self.engine.now
        for model in models:
            if up:
                model.state, model.drained_at, model.mode, model.started_at = (
                    ServerState.READY,
                    None,
                    "ok",
                    now,
                )
            elif grace:
                model.state, model.drained_at = ServerState.DRAINING, now
        fleet.discovery.changed(models)
        if not up:
            self.engine.after(
                grace,
                lambda: [
                    setattr(model, "mode", "dead") for model in models if not self.up[self.machine_of(model)]
                ],
            )

    def machine_of(self, model: ServerModel) -> str:
        """The machine of a server."""
        return next(one.name for one in self.plan.machines if f"s-{model.id}" in one.servers)

    def heard(self, name: str, event: str, facts: dict) -> None:
        """A limiter tells an event."""
        self.log.append((self.engine.now, name, event, facts))
        if event == "machine safe to work on":
            self.begin(facts["machine"])

    def begin(self, machine: str, most: bool = True) -> None:
        """Somebody reads that it is safe, and begins at once or up to the time to start later."""
        now = self.engine.now
        self.waits[machine] = max(self.waits.get(machine, 0.0), now + self.plan.start_within_s)
        if machine in self.out:
            return
        self.out[machine] = now
        self.count()
        late = self.plan.start_within_s * (self.rng.random() if self.rng.random() < 0.2 else 0.05)
        self.engine.after(late, lambda: self.work(machine))

    def work(self, machine: str) -> None:
        """Somebody begins to work on a machine."""
        self.working.add(machine)
        self.set_up(machine, False)
        self.engine.after(GRACE + self.work_s * (0.75 + 0.5 * self.rng.random()), lambda: self.back(machine))

    def back(self, machine: str) -> None:
        """A machine is back."""
        self.out.pop(machine, None)
        self.working.discard(machine)
        self.done.add(machine)
        self.set_up(machine, True)
        if len(self.done) == len(self.plan.machines) and self.ended is None and self.how != "agreed":
            self.ended = self.engine.now + self.plan.warm_up_s

    def count(self) -> None:
        """Rule of the plan, over the sum, each time one more may be worked on."""
        away = [self.plan.machine(name) for name in self.out]
        self.most = max(self.most, len(away))
        if len(away) > self.plan.max_out:
            self.breaks.append(f"{self.engine.now:.1f} s: {len(away)} out: {sorted(self.out)}")
        for one in away:
            if sum(other.zone == one.zone for other in away) > self.plan.max_out_per_zone:
                self.breaks.append(f"{self.engine.now:.1f} s: zone {one.zone}: {sorted(self.out)}")

    # the fleet's side

    def held(self, name: str, machines: tuple[str, ...]) -> None:
        """A limiter keeps off machines."""
        if self.fleet:
            self.fleet.keep_off(
                int(name[1:]),
                {int(server[2:]) for one in machines for server in self.plan.machine(one).servers},
            )

    def quiet(self, name: str, machine: Machine) -> bool:
        """Whether nothing of a limiter is out at a machine."""
        if not self.fleet:
            return True
        mine = {int(server[2:]) for server in machine.servers}
        return not any(
            one.server.id in mine and one.outcome is None
            for request in self.fleet.seats[int(name[1:])].calls.values()
            for one in request.attempts
        )

    # the baselines

    def timetable(self, number: int) -> None:
        """K machines at a time, at fixed times: as long as work and filling take at most, and a tenth."""
        for one in self.plan.machines[number : number + self.plan.max_out]:
            self.begin(one.name)
        number += self.plan.max_out
        if number < len(self.plan.machines):
            self.engine.after(
                1.1 * (GRACE + 1.25 * self.work_s + self.plan.start_within_s + self.plan.warm_up_s),
                lambda: self.timetable(number),
            )

    def alone(self, name: str) -> None:
        """Each by its own view: the next machine, when fewer than K are out by the list."""
        seat = self.seats[name]
        seen = sum(not up for up in self.listed_up.values())
        left = [one for one in self.plan.machines if one.name not in self.done and one.name not in self.out]
        if seat.alive and self.engine.now >= seat.wakes and seen < self.plan.max_out and left:
            self.begin(left[0].name)
        if left:
            self.engine.after(TICK * (0.5 + self.rng.random()), lambda: self.alone(name))

    # the run

    def run(self, until: float) -> "Site":
        """Until the plan is done, or that time (s)."""
        while self.engine.now < until and self.ended is None:
            self.engine.run(self.engine.now + 1.0)
            self.look()
        return self

    def look(self) -> None:
        """Look whether bounds are kept."""
        if self.how != "agreed":
            return
        acting = [
            name
            for name in self.plan.voters
            if (seat := self.seats[name]).alive
            and seat.core.register
            and seat.core.register.proposer.may_act(seat.now())
        ]
        if len(acting) > 1:
            self.breaks.append(f"{self.engine.now:.1f} s: the permit in two hands: {acting}")
        if not self.out and any(
            seat.alive and seat.core.register and seat.core.is_finished(seat.core.register.value)
            for seat in map(self.seats.get, self.plan.voters)
        ):
            self.ended = self.engine.now
