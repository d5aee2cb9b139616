"""The model of a plan under faults.

The real maintenance.Maintenance of each limiter, their messages, and people who work.

Whole s on one clock; the core's own times are relative to it in a state's key. A machine counts as out from
the moment that somebody may start on it ("safe to work", until the time to start is over) to its return.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from ..maintenance import Machine, Maintenance, Plan, Settings
from ..maintenance import core as core_module
from ..maintenance.messages import Grant, Wrote
from ..maintenance.register import Register

LEASE = 2.0
TIMES_CORE = ("born", "try_at", "freed_at", "well_at")
TIMES_REGISTER = ("born", "until", "read_at", "asked_at", "valid_until", "sent_at")
SHARED = ("port", "settings", "plan", "digest", "register", "me", "knew", "exchange")
BOUND = ("me", "send", "report", "heard", "adopt", "listed", "lease", "alone", "base")
FAULTS = {
    "crash": 1,
    "stall": 1,
    "cut": 1,
    "mute": 1,
    "split": 1,
    "hold": 2,
    "double": 1,
    "slow": 2,
    "fail": 1,
}  # of each kind, as a rule
KNOWN = 50_000  # members whose part of a key is remembered
OLD = -9.0  # s: what lies further back is the same as this, whatever it is


class State(NamedTuple):
    """All that the model is in at a moment; immutable."""

    clock: int
    members: tuple  # each: (core's fields, register's fields), or None while it is stopped for good
    stalled: frozenset
    # (how, member or side): "cut" both ways, "mute" what it sends, "split" two of them from the others
    away: frozenset
    net: tuple  # (source, peer, message), oldest first
    held: tuple  # messages held back
    work: tuple  # for each machine: (told until, worked on until, failed by itself until): 0 where not
    left: tuple  # faults left, by kind


def frozen(value: Any) -> Any:
    """A value that can be part of a key: dicts become tuples."""
    if isinstance(value, dict):
        return ("d", tuple((key, frozen(one)) for key, one in value.items()))
    return value


def thawed(value: Any) -> Any:
    """The value that `frozen` was given."""
    if isinstance(value, tuple) and len(value) == 2 and value[0] == "d" and isinstance(value[1], tuple):
        return {key: thawed(one) for key, one in value[1]}
    return value


class Port:
    """One member's port, whose world is the state being built."""

    def __init__(self, model: "Model", me: str):
        self.model, self.me = model, me

    def now(self) -> float:
        """Seconds on the model's clock."""
        return float(self.model.clock)

    def present(self) -> list[str]:
        """Whom membership would hold for there."""
        model = self.model
        return [
            name
            for name in model.names
            if name != self.me
            and name not in model.stalled
            and model.joined(self.me, name, model.away)
            and model.joined(name, self.me, model.away)
        ]

    def listed(self) -> list[str]:
        """All others."""
        return [name for name in self.model.names if name != self.me]

    def send(self, peer: str, message) -> None:
        """A message is on its way."""
        self.model.sent.append((self.me, peer, message))

    def up(self, machine: Machine) -> bool:
        """Whether the list has a machine's servers, as far as this one sees it."""
        mine = self.model.cores[self.model.names.index(self.me)].register.table.step(machine.name)
        _, down, failed = self.model.work[machine.name]
        return not down and not failed or self.model.blind and not mine

    def hold(self, machines: tuple[str, ...]) -> None:
        """Keeping off costs nothing here: sends to servers are no part of the model."""

    def quiet(self, machine: Machine) -> bool:
        """Nothing is ever out in the model."""
        return True

    def lately(self) -> tuple[float, float, float]:
        """No requests in the model."""
        return (0.0, 0.0, 0.0)

    def load(self) -> dict[str, float]:
        """Each sees another load, so that each by itself would take another machine first."""
        count, mine = len(self.model.plan.machines), self.model.names.index(self.me)
        return {
            one.zone: float((number - mine) % count) for number, one in enumerate(self.model.plan.machines)
        }

    def log(self, event: str, **facts) -> None:
        """Only that a machine is safe to work on matters here."""
        if event.startswith("safe to work on "):
            self.model.told(facts["machine"])


class Model:
    """`voters` limiters and `machines`, at most `most` out; `faults`: kinds to how many; `register`.

    The class under test.

    `rounds`: one step of the plain schedule is all messages and then the clock, so that faults fall between
    rounds and longer trails are reached; else each message is a step. `apart`: a member that is cut off at
    the start. `one_permit`: whether two that may act at once are a break by themselves. `blind`: a steward
    sees only of its own machines whether they are there (no list tells it of the others). `work_s`: how long
    work takes.
    """

    def __init__(
        self,
        voters: int = 3,
        most: int = 1,
        machines: int = 2,
        zone_most: int = 9,
        zones: int = 9,
        joins: bool = False,
        faults: dict[str, int] | None = None,
        register: type = Register,
        forgets: bool = True,
        rounds: bool = False,
        apart: str = "",
        one_permit: bool = True,
        blind: bool = False,
        lease: float = LEASE,
        work_s: int = 2,
    ):
        self.names = [f"n{n}" for n in range(voters)]
        first = tuple(self.names[:-1] if joins else self.names)
        self.plan = Plan(
            1,
            tuple(Machine(f"m{n}", zone=f"z{n % zones}") for n in range(machines)),
            first,
            most_out=most,
            most_zone=zone_most,
            capacity_least=0.0,
            start_within_s=2.0,
            fill_s=0.0,
            pause_s=0.0,
            work_most_s=50.0,
            voters_next=tuple(self.names) if joins else (),
        )
        self.settings = Settings(lease=lease, ends_in=0.0, offer=0.0)
        self.kind, self.forgets, self.rounds, self.apart, self.one_permit = (
            register,
            forgets,
            rounds,
            apart,
            one_permit,
        )
        self.blind, self.work_s = blind, work_s
        self.kinds = tuple(sorted(faults or FAULTS))
        self.most_faults = tuple((faults or FAULTS)[kind] for kind in self.kinds)
        self.clock, self.sent, self.work = 0, [], {}
        # Of the state being built: whom membership holds for gone
        self.stalled, self.away = (
            frozenset(),
            frozenset(),
        )
        self.known: dict[int, tuple] = {}
        self.ports = [Port(self, name) for name in self.names]
        self.cores = [self.launch(n, knows=not joins or n < voters - 1) for n in range(voters)]

    def launch(self, number: int, knows: bool) -> Maintenance:
        """A limiter that begins; `knows`: it remembers."""
        core = Maintenance(self.ports[number], self.names[number], self.settings, knows=knows)
        before, core_module.Register = core_module.Register, self.kind
        try:
            core.give(self.plan)
        finally:
            core_module.Register = before
        core.register.model = self
        return core

    # states

    def save(self, core: Maintenance) -> tuple:
        """A member's part of a state."""
        return (
            tuple((key, frozen(value)) for key, value in vars(core).items() if key not in SHARED),
            tuple(
                (key, frozen(value))
                for key, value in vars(core.register).items()
                if key not in BOUND and key != "model"
            ),
        )

    def load(self, core: Maintenance, saved: tuple) -> None:
        """Put a member into a saved state."""
        for place, fields in zip((core, core.register), saved, strict=False):
            for key, value in fields:
                setattr(place, key, thawed(value))

    def start(self) -> State:
        """The state at the start."""
        self.clock, self.work = 0, {one.name: (0, 0, 0) for one in self.plan.machines}
        return State(
            0,
            tuple(self.save(core) for core in self.cores),
            frozenset(),
            frozenset({("cut", self.apart)} if self.apart else ()),
            (),
            (),
            tuple(self.work.values()),
            self.most_faults,
        )

    def told(self, machine: str) -> None:
        """Somebody reads that it is safe: from now on, and for the time to start, work may begin."""
        until, down, failed = self.work[machine]
        self.work[machine] = (
            max(until, self.clock + int(self.plan.start_within_s)) if not down else until,
            down,
            failed,
        )

    def key(self, state: State) -> Any:
        """The state without its clock. Members that a step left as they were are not worked out again."""

        def fields(saved: tuple, times: tuple) -> tuple:
            return tuple(
                (
                    key,
                    self.past(value, state.clock)
                    if key in times
                    else self.times(value, state.clock)
                    if key in ("reports", "seen", "since")
                    else value,
                )
                for key, value in saved
            )

        def member(saved: tuple) -> tuple:
            held = self.known.get(id(saved))
            if held is None or held[0] is not saved or held[1] != state.clock:
                if len(self.known) >= KNOWN:
                    self.known.clear()
                held = self.known[id(saved)] = (
                    saved,
                    state.clock,
                    (fields(saved[0], TIMES_CORE), fields(saved[1], TIMES_REGISTER)),
                )
            return held[2]

        return (
            tuple(map(member, state.members)),
            state.stalled,
            state.away,
            state.net,
            state.held,
            tuple(tuple(max(0, one - state.clock) for one in times) for times in state.work),
            state.left,
        )

    def past(self, value: float, clock: int) -> float:
        """A moment as seconds ago, the far past all alike."""
        return round(max(OLD, value - clock), 2)

    def times(self, value: tuple, clock: int) -> tuple:
        """Moments by name as seconds ago."""
        return tuple(
            (name, (self.past(one[0], clock), one[1]) if isinstance(one, tuple) else self.past(one, clock))
            for name, one in value[1]
        )

    def broken(self, state: State) -> str:
        """What is wrong in a state, in words; "" where nothing is."""
        out = [
            one.name
            for one, (until, down, _) in zip(self.plan.machines, state.work, strict=False)
            if down or until > state.clock
        ]
        if len(out) > self.plan.most_out:
            return f"{len(out)} machines out: {', '.join(out)}, {self.plan.most_out} at most"
        zones = [self.plan.machine(name).zone for name in out]
        if any(zones.count(zone) > self.plan.most_zone for zone in zones):
            return f"two machines of a zone out: {', '.join(out)}"
        if not self.one_permit:
            return ""
        self.clock = state.clock
        acting = []
        for number, saved in enumerate(state.members):
            if ("leads", True) not in saved[1]:
                continue
            self.load(self.cores[number], saved)
            if self.cores[number].register.acts(float(state.clock)):
                acting.append(self.names[number])
        return f"two hold the permit: {' and '.join(acting)}" if len(acting) > 1 else ""

    # the schedule

    def joined(self, source: str, peer: str, away: frozenset) -> bool:
        """Whether words from one reach the other.

        `cut` members reach nobody, `mute` ones are not heard, `split` names a side.
        """
        return not any(
            (how == "cut" and member in (source, peer))
            or (how == "mute" and member == source)
            or (how == "split" and (source in member) != (peer in member))
            for how, member in away
        )

    def reachable(self, state: State, source: str, peer: str) -> bool:
        """Whether words from one reach the other in a state."""
        return self.joined(source, peer, state.away)

    def plain(self, state: State) -> tuple:
        """The oldest message for a member that runs; else work that may begin; else the clock."""
        if self.rounds:
            return ("round",)
        for number, (_, peer, _) in enumerate(state.net):
            if peer not in state.stalled:
                return ("deliver", number)
        for number, (until, down, _) in enumerate(state.work):
            if until > state.clock and not down:
                return ("start", number)
        return ("tick",)

    def others(self, state: State) -> list[tuple]:
        """What may happen beside the plain schedule, each with its cost."""
        left, made = dict(zip(self.kinds, state.left, strict=False)), []
        for name in self.names:
            if name in state.stalled:
                made.append((("wake", name), 0))
                continue
            if left.get("crash"):
                made.append((("crash", name), 1))
            if left.get("stall"):
                made.append((("stall", name), 1))
            made += [((how, name), 1) for how in ("cut", "mute") if left.get(how) and not state.away]
        if left.get("split") and not state.away and len(self.names) > 3:
            made += [
                (("split", (one, other)), 1) for one, other in zip(self.names, self.names[1:], strict=False)
            ]
        if state.away:
            made.append((("heal",), 0))
        first = [number for number, one in enumerate(state.net) if one[1] not in state.stalled][
            : None if self.rounds else 1
        ]
        made += [
            ((what, number), 1)
            for number in first
            for what in ("hold", "double", "lose")
            if left.get("hold" if what != "double" else what)
        ]
        made += [(("release", number), 0) for number in range(len(state.held))]
        made += [
            (("fail", number), 1)
            for number, times in enumerate(state.work)
            if left.get("fail") and not any(times[1:])
        ]
        if left.get("slow"):  # somebody who takes time to begin
            begins = any(until > state.clock and not down for until, down, _ in state.work)
            made += [(("dawdle",), 1)] if begins and (self.rounds or self.plain(state)[0] == "start") else []
        return made

    def after(self, state: State, action: tuple) -> State:
        """The state after an action."""
        self.clock, self.sent, self.stalled, self.away = state.clock, [], state.stalled, state.away
        self.work = {one.name: times for one, times in zip(self.plan.machines, state.work, strict=False)}
        members, net, held, away, stalled = (
            list(state.members),
            list(state.net),
            list(state.held),
            state.away,
            state.stalled,
        )
        left, what = dict(zip(self.kinds, state.left, strict=False)), action[0]
        clock = state.clock

        def run(number: int, act) -> None:
            core = self.cores[number]
            self.load(core, members[number])
            act(core)
            members[number] = self.save(core)

        if what == "round":
            return self.round(state)
        if what in ("deliver", "double"):
            source, peer, message = one = net.pop(action[1])
            if what == "double":
                left["double"] -= 1
                held.append(one)
            run(self.names.index(peer), lambda core: core.received(source, message))
        elif what == "release":
            net.append(held.pop(action[1]))
        elif what in ("hold", "lose"):
            left["hold"] -= 1
            one = net.pop(action[1])
            held += [one] if what == "hold" else []
        elif what == "start":
            name = self.plan.machines[action[1]].name
            self.work[name] = (0, clock + self.work_s, 0)
        elif what in ("tick", "dawdle"):
            left["slow"] = left.get("slow", 0) - (what == "dawdle")
            self.clock = clock = clock + 1
            for name, times in self.work.items():
                self.work[name] = tuple(one if one > clock else 0 for one in times)
            for number, name in enumerate(self.names):
                if name not in stalled:
                    run(number, lambda core: core.tick())
        elif what == "fail":  # the machine goes down by itself, for a while
            left["fail"] -= 1
            name = self.plan.machines[action[1]].name
            self.work[name] = (*self.work[name][:2], clock + 2)
        elif what == "crash":
            left["crash"] -= 1
            number = self.names.index(action[1])
            self.cores[number] = self.launch(number, knows=not self.forgets)
            members[number] = self.save(self.cores[number])
            self.sent = []
        elif what == "stall":
            left["stall"] -= 1
            stalled = stalled | {action[1]}
        elif what == "wake":
            stalled = stalled - {action[1]}
            run(self.names.index(action[1]), lambda core: core.tick())
        elif what in ("cut", "mute", "split"):
            left[what] -= 1
            away = away | {action}
        elif what == "heal":
            away = frozenset()
        following = State(
            clock,
            tuple(members),
            stalled,
            away,
            (),
            tuple(held),
            tuple(self.work.values()),
            tuple(left[kind] for kind in self.kinds),
        )
        net += [one for one in self.sent if self.reachable(following, *one[:2])]
        return following._replace(net=tuple(net))

    def round(self, state: State) -> State:
        """All messages in their order, what they bring about too; then who may begin to work does.

        Then the clock.
        """
        for core, saved in zip(self.cores, state.members, strict=False):
            self.load(core, saved)
        net, waits = list(state.net), []
        while net:
            source, peer, message = net.pop(0)
            if peer in state.stalled:
                waits.append((source, peer, message))
                continue
            self.sent = []
            self.cores[self.names.index(peer)].received(source, message)
            net += [one for one in self.sent if self.reachable(state, *one[:2])]
        self.sent = []
        for name, (until, down, _) in self.work.items():
            if until > self.clock and not down:
                self.work[name] = (0, self.clock + self.work_s, 0)
        self.clock += 1
        for name, times in self.work.items():
            self.work[name] = tuple(one if one > self.clock else 0 for one in times)
        for name, core in zip(self.names, self.cores, strict=False):
            if name not in state.stalled:
                core.tick()
        waits += [one for one in self.sent if self.reachable(state, *one[:2])]
        return state._replace(
            clock=self.clock,
            members=tuple(self.save(core) for core in self.cores),
            net=tuple(waits),
            work=tuple(self.work.values()),
        )

    def ends(self, state: State, ticks: int = 120) -> str:
        """With all faults over and messages flowing.

        "" where the plan comes to its end, else what holds it.
        """
        state = state._replace(stalled=frozenset(), away=frozenset(), net=state.net + state.held, held=())
        end = state.clock + ticks
        while state.clock < end:
            state = self.after(state, self.plain(state))
            if self.broken(state):
                return self.broken(state)
            self.load(self.cores[0], state.members[0])
            tables = []
            for number, saved in enumerate(state.members):
                self.load(self.cores[number], saved)
                tables.append(self.cores[number].register.table)
            if any(self.cores[number].finished(table) for number, table in enumerate(tables)) and not any(
                until > state.clock or down for until, down, _ in state.work
            ):
                return ""
        return f"not at its end after {ticks} s: {tables}"


# planted faults, for the checker to find


class Counted(Register):
    """Votes merely counted.

    A voter says yes to any steward's machine while it has said yes to fewer than may be out.
    """

    said: tuple = ()

    def __init__(self, *settings, **more):
        super().__init__(*settings, **more)
        self.said = ()

    def grants_to(self, ballot, now: float) -> bool:
        """Any leader is granted who asks."""
        return not self.abstains

    def asked(self, peer, message, now):
        """Say yes."""
        self.send(peer, Grant(message.ballot, self.mark, self.table))

    def says_yes(self, before, table) -> bool:
        """Whether it says yes to the machines that are to go out."""
        names = {name for name, _ in table.outs}
        kept = [name for name in self.said if name in names or name not in before]
        if len(set(kept) | names) > self.model.plan.most_out:
            return False
        self.said = tuple(sorted(set(kept) | names))
        return True

    def elected(self, now: float) -> None:
        """Lead where a majority said yes."""
        if not self.leads and self.enough(self.grants, self.voters()) and now < self.asked_at + self.lease:
            self.leads, self.valid_until, self.serial = True, self.asked_at + self.lease, 0
            self.write(self.table, now)

    def written(self, peer, message, now):
        """Say yes to a machine while fewer are out than may be."""
        if self.says_yes(
            {
                one.name
                for one, bit in zip(self.model.plan.machines, range(9), strict=False)
                if message.table.done >> bit & 1
            },
            message.table,
        ):
            self.adopt(message.table)
            self.send(peer, Wrote(message.mark, self.report()))

    def write(self, table, now: float) -> None:
        """One machine each: a vote is for a machine."""
        super().write(msgspec.structs.replace(table, outs=table.outs[:1]), now)

    def takes(self, mark, now: float) -> bool:
        """Say yes to a machine while fewer are out than may be."""
        return self.pending is None or self.says_yes({name for name, _ in self.table.outs}, self.pending)


class Unlooking(Register):
    """No look at the lease after waking: who was the leader goes on as one."""

    def tick(self, now: float) -> None:
        """The clock moves on."""
        self.valid_until = max(self.valid_until, now + 1) if self.leads else self.valid_until
        super().tick(now)

    def acts(self, now: float) -> bool:
        """Whether it may act: without a look at its lease."""
        return self.leads and self.held is not None and self.pending is None


class Unabstaining(Register):
    """One that starts with nothing votes at once."""

    def tick(self, now: float) -> None:
        """The clock moves on."""
        self.abstains = False
        super().tick(now)

    def asked(self, peer, message, now):
        """Answer at once, remembering nothing or not."""
        self.abstains = False
        super().asked(peer, message, now)

    def written(self, peer, message, now):
        """Take a write, remembering nothing or not."""
        self.abstains = False
        super().written(peer, message, now)


PLANTED = {"counted votes": Counted, "no look at the lease": Unlooking, "no abstaining": Unabstaining}
