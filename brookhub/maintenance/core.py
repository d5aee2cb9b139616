"""The steps of a plan: who leads, which machine goes out next, when it is safe to work on, when it is back.

Each limiter runs one; a majority of the voters holds the table (register.py), and whoever leads acts on it:
the steward. Told by `tick` (often: TICK s) and `received`; acts by its port. What it may not do without a
majority it does not begin, and what it says outward ("safe to work on NAME") it says only under a lease that
holds at that moment.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import msgspec
from xxhash import xxh3_64_intdigest

from .exchange import PlanExchange
from .messages import (
    FILLING,
    LEAVING,
    NOTHING_SAID,
    OPEN,
    Heard,
    Offer,
    Pass,
    Piece,
    Read,
    Report,
    State,
    Table,
    Told,
    Want,
)
from .moves import Figures, change_one_voter, move, sum_figures, why_answers, why_capacity
from .plan import Machine, Plan, fits, order
from .register import Register, leased

# Words of who asks to remember, after which the way to a voter is taken for cut: two lost ones are chance
ASKED_AGAIN = 3


class MaintenancePort(Protocol):
    """How maintenance acts.

    `present()`: the limiters that are there, without this one; `listed()`: all of the fleet.
    """

    def now(self) -> float:
        """Seconds on this limiter's clock."""

    def present(self) -> list[str]:
        """The limiters that are there, without this one."""

    def listed(self) -> list[str]:
        """All others of the fleet."""

    def send(self, peer: str, message) -> None:
        """Send a message to a peer; it may be lost."""

    def up(self, machine: Machine) -> bool:
        """Whether discovery lists a machine's servers and its limiter is there."""

    def hold(self, machines: tuple[str, ...]) -> None:
        """Send nothing to these machines' servers."""

    def quiet(self, machine: Machine) -> bool:
        """Whether nothing of this limiter is out at a machine."""

    def lately(self) -> tuple[float, float, float]:
        """Requests, served ones, and seconds that these took, over the last while."""

    def load(self) -> dict[str, float]:
        """Attempts out by zone."""

    def log(self, event: str, **facts) -> None:
        """A line for the people on call."""


@dataclass(frozen=True)
class Settings:
    """Times in s, the same at all limiters.

    `ends_in`: the longest client timeout, after which nothing of a limiter that fell silent is out any more.
    """

    # Longer than a datagram's way, a garbage pause and a lost renewal together; short against work
    lease: float = 3.0
    ends_in: float = 3.0
    offer: float = 1.0  # between two tellings of a plan to one peer; 0: none
    settle: float = 10.0  # that a plan which halted has to be well again until it goes on
    lately: float = 10.0  # over which a halt is judged
    asked_least: float = 20.0  # API calls in that time below which nothing is judged: chance


class Maintenance:
    """One limiter's part. `knows`: it remembers (only where all begin together with nothing: tests)."""

    def __init__(self, port: MaintenancePort, me: str, settings: Settings = Settings(), knows: bool = False):
        self.port, self.me, self.settings, self.knew = port, me, settings, knows
        self.plan: Plan | None = None
        self.digest = ""
        self.register: Register | None = None
        self.born = port.now()
        self.exchange = PlanExchange(port, me, settings.offer, self.give)
        self.told, self.told_mark = Table(), NOTHING_SAID  # the newest table known to be held by a majority
        self.holding: tuple[str, ...] = ()
        self.try_at, self.asks = self.born, 0  # when it asks to lead, where nobody seems to; how often it did
        self.reports: dict[str, tuple[float, Report]] = {}
        self.seen: dict[str, float] = {}  # who was present, when last
        self.since: dict[str, float] = {}  # machine -> when this steward saw it enter its step
        self.started: dict[str, bool] = {}  # machine -> it went down since it is open
        self.freed_at, self.well_at, self.led = self.born - 1e9, self.born, False
        self.late: dict[str, bool] = {}

    # the plan

    def give(self, plan: Plan) -> str:
        """A plan from the operator or from a peer: "" or why it is refused, in one line."""
        digest = plan.digest()
        if why := self.why_refused(plan, digest):
            return why
        if digest == self.digest:
            return ""
        self.plan, self.digest = plan, digest
        self.port.log("plan taken", version=plan.version, digest=digest, machines=len(plan.machines))
        self.exchange.hold(plan, digest)
        if self.register is None:
            self.register = self.begin_register(plan)
            self.try_at = self.port.now() + self.rank() * self.settings.lease / 4
        self.keep_off(self.told if self.told_mark > self.register.mark else self.register.table)
        return ""

    def why_refused(self, plan: Plan, digest: str) -> str:
        """Why a plan can't take the place of the one that is held, "" where it can."""
        if self.plan is None:
            return ""
        if plan.version == self.plan.version and digest != self.digest:
            self.exchange.refuse(plan.version, digest)
            return f"version {plan.version} is held with digest {self.digest}, this one has {digest}"
        if plan.version < self.plan.version:
            return f"version {plan.version} is older than {self.plan.version}, digest {self.digest}"
        if plan.voters != self.plan.voters:
            return "the first voters stay as they were: name others as voters_next"
        return ""

    def begin_register(self, plan: Plan) -> Register:
        """The register of the first plan's voters."""
        return Register(
            self.me,
            plan.voters,
            self.settings.lease,
            plan.start_within_s,
            self.born,
            self.say,
            self.report,
            self.heard,
            self.learned,
            self.knew,
            lambda: sorted(self.port.listed()),
        )

    # what arrives

    def received(self, peer: str, message) -> None:
        """A message of a peer."""
        now = self.port.now()
        if isinstance(message, (Offer, Want, Piece)):
            self.exchange.received(peer, message, now)
        elif isinstance(message, Told):
            if message.mark >= self.told_mark:
                self.commit(message.mark, message.table)
            if self.register and (self.register.abstains or not self.register.votes()):
                self.register.learn(message.mark, message.table)
            self.port.send(peer, Heard(self.told_mark, self.report()))
            self.exchange.received(peer, Offer(message.table.version, message.table.digest), now)
        elif isinstance(message, Heard):
            self.heard(peer, message.report)
            if self.register:
                self.register.outdone(message.mark)
        elif isinstance(message, Pass):
            self.passed(message)
        elif self.register is not None:
            self.register.received(peer, message, now)

    def say(self, peer: str, message) -> None:
        """The register's words.

        Who remembers nothing needs every voter's answer: where it asks in vain (a link may be cut one way)
        question and answer also go by a third, another one each time.
        """
        self.port.send(peer, message)
        if (
            isinstance(message, (Read, State))
            and message.number > ASKED_AGAIN
            and peer in self.register.everyone()
        ):
            others = sorted(name for name in self.port.present() if name != peer)
            if others:
                self.port.send(others[message.number % len(others)], Pass(self.me, peer, message))

    def passed(self, message: Pass) -> None:
        """A message that goes by this one to another, or came by another."""
        if message.to != self.me:
            self.port.send(message.to, message)
        elif message.origin != self.me:
            self.received(message.origin, message.message)

    def heard(self, peer: str, report: Report) -> None:
        """What a limiter reports of itself."""
        self.reports[peer] = (self.port.now(), report)

    def report(self) -> Report:
        """What goes with each vote and answer."""
        quiet = tuple(
            name
            for name in self.holding
            if self.plan and (one := self.plan.machine(name)) and self.port.quiet(one)
        )
        return Report(quiet, *self.port.lately())

    # every limiter: keeps off the machines that are out

    def learned(self, table: Table) -> None:
        """A newer table, perhaps not held by a majority yet: to keep off a machine early harms nobody."""
        self.keep_off(table)

    def commit(self, mark, table: Table) -> None:
        """A table that is held by a majority."""
        self.told_mark, self.told = mark, table
        self.keep_off(table)

    def keep_off(self, table: Table) -> None:
        """Send nothing to what is out by this table."""
        # A table may come before its plan: what its machines are is known only with that.
        holding = tuple(
            name
            for name, step in table.outs
            if step in (LEAVING, OPEN) and self.plan and self.plan.machine(name)
        )
        if holding != self.holding:
            self.holding = holding
            self.port.hold(holding)

    # the clock

    def tick(self) -> None:
        """The clock moves on."""
        now = self.port.now()
        self.exchange.tick(now)
        if self.register is None:
            return
        register = self.register
        register.tick(now)
        if register.leads:
            self.lead(now)
        else:
            if self.led:
                self.led = False
                self.port.log("steward no more", steward=self.me)
            self.campaign(now)

    def campaign(self, now: float) -> None:
        """Ask to lead where nobody does.

        The voters one after another, in an order that turns with the plan.
        """
        register, table = self.register, self.register.table
        if register.abstains or not register.votes() or self.finished(table):
            return
        if now < register.until and register.promised[1] not in ("", self.me):
            self.try_at = register.until + self.rank() * self.settings.lease / 4
        elif now >= self.try_at:
            # Those that asked at one moment must not do so again: drawn by name and number, the same each
            # time it is played.
            self.asks = (self.asks + 1) % 64
            drawn = xxh3_64_intdigest(f"{self.me}/{self.asks}") / 2**64
            self.try_at = now + self.settings.lease * (1 + drawn * len(register.voters()) / 2)
            register.ask(now)

    def rank(self) -> int:
        """This one's place among the voters that are there."""
        here = {*self.port.present(), self.me}
        return (
            sorted((name not in here, name) for name in self.register.voters()).index((False, self.me))
            if self.me in self.register.voters()
            else len(self.register.voters())
        )

    def finished(self, table: Table) -> bool:
        """Whether nothing is left to do.

        All machines of the newest plan known here are done, and none is out.
        """
        return (
            table.digest == self.digest
            and table.done == self.plan.everything()
            and not table.outs
            and not (
                self.plan.voters_next and set(self.plan.voters_next) != set(table.voters or self.plan.voters)
            )
        )

    # the steward

    def lead(self, now: float) -> None:
        """As steward: look after each machine that is out, and let the next go out."""
        register, settings = self.register, self.settings
        for name in self.port.present():
            self.seen[name] = now
        if register.pending is not None:
            if now >= register.sent_at + settings.lease / 3:
                register.write(register.pending, now)  # its words or their answers were lost
            return
        if not register.acts(now):
            return
        if not self.led:
            self.led, self.since, self.started, self.late, self.well_at = True, {}, {}, {}, now
            self.freed_at = now - (0 if register.held.outs else 1e9)
            self.port.log(
                "steward", steward=self.me, version=register.held.version, digest=register.held.digest
            )
        table = register.held
        if (
            self.told_mark[:2] != register.ballot
            or table != self.told
            or now >= register.sent_at + settings.lease / 3
        ):
            self.spread(table)
        following = self.follow(table, now)
        if following != table or now >= register.sent_at + settings.lease / 3:
            if self.finished(table) and following == table:
                return  # the lease runs out, and nobody needs another
            register.write(following, now)

    def spread(self, table: Table) -> None:
        """Tell all limiters the table."""
        mark = (*self.register.ballot, self.register.serial)
        self.commit(mark, table)
        voters = set(self.register.voters(table))
        for name in self.port.present():
            if name not in voters:
                self.port.send(name, Told(mark, table))

    def follow(self, table: Table, now: float) -> Table:
        """The table as it should be next.

        The steward writes it, and acts on it only once a majority holds it.
        """
        plan = self.plan
        if plan.version > table.version:
            return msgspec.structs.replace(
                table,
                version=plan.version,
                digest=self.digest,
                done=0,
                halted="",
                voters=table.voters or plan.voters,
                resume=plan.resume,
                load=tuple(sorted((zone, round(load, 1)) for zone, load in self.port.load().items())),
            )
        if table.digest != self.digest:
            # A majority holds another plan of this version, or a newer one that is on its way here
            return table
        voters = table.voters or plan.voters
        if plan.voters_next and set(voters) != set(plan.voters_next):
            return msgspec.structs.replace(table, voters=change_one_voter(voters, plan.voters_next))
        following = table
        for name, step in table.outs:
            machine = plan.machine(name)
            self.since.setdefault(name, now)
            before, following = following, self.step(following, machine, step, now) if machine else following
            if following != before:
                self.since.pop(name, None)
                self.started.pop(name, None)
        halted, table = self.halt(table, now), following
        if halted != table.halted:
            self.port.log("plan halted" if halted else "plan goes on", why=halted or "it is well again")
            return msgspec.structs.replace(table, halted=halted, resume=plan.resume)
        while not halted and (following := self.permit(table, now)) != table:
            table = following
        return table

    def step(self, table: Table, machine: Machine, step: int, now: float) -> Table:
        """Move a machine that is out one step on, where it is time."""
        if step == LEAVING:
            return self.step_leaving(table, machine, now)
        if step == OPEN:
            return self.step_open(table, machine, now)
        name = machine.name
        if now - self.since[name] < self.plan.fill_s:
            return table
        self.freed_at = now
        self.late.pop(name, None)
        self.port.log("done with " + name, machine=name)
        return move(self.plan, table, name, done=True)

    def step_leaving(self, table: Table, machine: Machine, now: float) -> Table:
        """A machine that is to go out: it is open once nothing of anybody is out there."""
        name = machine.name
        if table.halted and self.port.up(machine):
            why = "the plan halted and nobody had started on it"
            self.port.log("brought back", machine=name, why=why)
            return move(self.plan, table, name)
        return move(self.plan, table, name, OPEN) if self.all_quiet(machine, now) else table

    def step_open(self, table: Table, machine: Machine, now: float) -> Table:
        """A machine that may be worked on: it is back once it went down and came up, or nobody started."""
        name, plan, up = machine.name, self.plan, self.port.up(machine)
        waited = now - self.since[name]
        self.say_safe(name)
        self.started[name] = self.started.get(name, False) or not up
        # Down and up again may also have been a failure of its own: as long as somebody may yet start it
        # stays out.
        begun = waited >= leased(plan.start_within_s)
        if up and begun and self.started[name]:
            self.port.log("back", machine=name)
            return move(plan, table, name, FILLING)
        if up and begun:  # whoever wanted to start had to be gone from the list by now
            why = f"nobody started within {plan.start_within_s:.0f} s: ask again"
            self.port.log("withdrawn", machine=name, why=why)
            self.late.pop(name, None)
            return move(plan, table, name)
        if not up and waited >= plan.work_most_s and not self.late[name]:
            self.late[name] = True
            self.port.log("work takes long", machine=name, work_most_s=plan.work_most_s)
        return table

    def say_safe(self, name: str) -> None:
        """Tell once that a machine may be worked on."""
        if name not in self.late:
            self.late[name] = False
            self.port.log(
                "safe to work on " + name,
                machine=name,
                start_within_s=self.plan.start_within_s,
                work_most_s=self.plan.work_most_s,
            )

    def all_quiet(self, machine: Machine, now: float) -> bool:
        """Whether nothing of any limiter is out at it: each says so.

        Those that are gone count out once the longest client timeout has passed since they were last there;
        those that are there and silent, a lease later (each renewal asked them): they may not know, and what
        they still send meets the drain that comes before the work.
        """
        if self.me != machine.limiter and not self.port.quiet(machine):
            return False
        since, wait = self.since[machine.name], leased(self.settings.ends_in)
        here = set(self.port.present())
        for name in self.port.listed():
            at, report = self.reports.get(name, (-1e9, None))
            if at >= since and machine.name in report.quiet:
                continue
            last = (
                max(since, at) + self.settings.lease
                if name in here
                else max(since, self.seen.get(name, since))
            )
            if now < last + wait:
                return False
        return True

    def halt(self, table: Table, now: float) -> str:
        """Why the plan may not go on, or ""."""
        plan = self.plan
        why = self.why_halted(table, now)
        if why:
            self.well_at = now
            # The reason that it halted for stays while it holds: figures change with each look.
            return table.halted or why
        told = plan.resume > table.resume
        return "" if not table.halted or told or now - self.well_at >= self.settings.settle else table.halted

    def why_halted(self, table: Table, now: float) -> str:
        """What stands against going on just now, or ""."""
        plan = self.plan
        down = {one.name for one in plan.machines if not self.port.up(one)} - {name for name, _ in table.outs}
        if why := why_capacity(plan, table, down):
            return why
        if any(self.late.get(name) for name, _ in table.outs):
            return "work takes longer than the plan allows"
        return why_answers(plan, self.figures(now), self.settings.asked_least)

    def figures(self, now: float) -> Figures:
        """What all limiters met lately."""
        lease = self.settings.lease
        told = [(one.asked, one.served, one.took) for at, one in self.reports.values() if now - at < lease]
        return sum_figures([self.port.lately(), *told])

    def permit(self, table: Table, now: float) -> Table:
        """Let the next machine go out, where the bounds allow it."""
        plan = self.plan
        if now - self.freed_at < plan.pause_s:
            return table
        down = frozenset(one.name for one in plan.machines if not self.port.up(one))
        away = {name for name, _ in table.outs} | down
        for machine in order(plan, dict(table.load), down):
            left = not table.done >> [one.name for one in plan.machines].index(machine.name) & 1
            if left and not table.step(machine.name) and fits(plan, machine.name, away):
                self.port.log("permitted", machine=machine.name, out=len(table.outs) + 1)
                self.since[machine.name] = now  # from now on a report may say that nothing is out there
                return msgspec.structs.replace(table, outs=(*table.outs, (machine.name, LEAVING)))
        return table
