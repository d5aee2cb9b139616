"""The model of a maintenance plan under faults: the real cores, their messages, and the operators' work.

Time advances in whole seconds on one clock. A machine counts as out while an operator may start to work on
it, and while the work lasts.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable

from ..maintenance import Maintenance, PlanProgress
from .settings import ModelSettings
from .snapshot import MemberSnapshots, register_of
from .state import Action, ActionKind, Fault, MachineWork, MemberSnapshot, ModelState, Packet, Partition
from .world import LimiterPort, MutableState

# Minimum number of limiters for a split of two. With three, it would be the same as cutting off one.
MIN_SPLIT_LIMITERS = 4
MAX_TICKS_TO_FINISH = 120  # Number of ticks after the last fault within which a plan has to finish.
LINK_FAULTS = {
    ActionKind.CUT: Fault.CUT,
    ActionKind.MUTE: Fault.MUTE,
    ActionKind.SPLIT: Fault.SPLIT,
}


class Model:
    """A SearchableModel of one maintenance plan (explorer.search)."""

    def __init__(self, settings: ModelSettings) -> None:
        self.settings = settings
        self.names = settings.names()
        self.plan = settings.plan()
        self.sees_only_machines_out = settings.sees_only_machines_out
        self.fault_kinds = tuple(sorted(settings.faults))
        self.state = MutableState()
        self.ports = [LimiterPort(self, name) for name in self.names]
        first_voters = set(self.plan.voters)
        self.cores = [
            self._launch(number, bootstrap=name in first_voters) for number, name in enumerate(self.names)
        ]
        self.snapshots = MemberSnapshots(self.cores[0])
        self.handlers: dict[ActionKind, Callable[[MutableState, Action], None]] = {
            ActionKind.ROUND: self._round,
            ActionKind.DELIVER: self._deliver,
            ActionKind.DUPLICATE: self._duplicate,
            ActionKind.DELAY: self._delay,
            ActionKind.LOSE: self._lose,
            ActionKind.RELEASE: self._release,
            ActionKind.START_WORK: self._start_work,
            ActionKind.TICK: self._tick,
            ActionKind.SLOW_TICK: self._slow_tick,
            ActionKind.CRASH: self._crash,
            ActionKind.STALL: self._stall,
            ActionKind.WAKE: self._wake,
            ActionKind.CUT: self._partition,
            ActionKind.MUTE: self._partition,
            ActionKind.SPLIT: self._partition,
            ActionKind.HEAL: self._heal,
            ActionKind.MACHINE_FAILURE: self._fail_machine,
        }

    def _launch(self, number: int, bootstrap: bool) -> Maintenance:
        """Start a limiter's core with the plan. Without `bootstrap` it abstains, as after a restart."""
        core = Maintenance(
            self.ports[number],
            self.names[number],
            self.settings.core_settings(),
            bootstrap,
            self.settings.roles(self.plan),
        )
        core.submit_plan(self.plan)
        return core

    # SearchableModel

    def initial_state(self) -> ModelState:
        """Return the state in which all limiters have the plan and no action has been taken."""
        cut_off = self.settings.cut_off
        state = MutableState(
            members=[self.snapshots.save(core) for core in self.cores],
            partitions=frozenset({Partition(ActionKind.CUT, (cut_off,))} if cut_off else ()),
            work={machine.name: MachineWork() for machine in self.plan.machines},
            faults_left=dict(self.settings.faults),
        )
        return state.freeze(self.fault_kinds)

    def key(self, state: ModelState) -> Hashable:
        """Return the state with times relative to its clock, without the clock itself."""
        return (
            tuple(self.snapshots.key(snapshot, state.clock) for snapshot in state.members),
            state.stalled,
            state.partitions,
            state.in_flight,
            state.delayed,
            tuple(tuple(max(0, until - state.clock) for until in work) for work in state.work),
            state.faults_left,
        )

    def violation(self, state: ModelState) -> str | None:
        """Describe the violated bound of the plan, or the two acting leaders, None if there is neither."""
        machines = zip(self.plan.machines, state.work, strict=True)
        out = [machine for machine, work in machines if work.is_out(state.clock)]
        names = ", ".join(machine.name for machine in out)
        if len(out) > self.plan.max_out:
            return f"{len(out)} machines out: {names}, {self.plan.max_out} at most"
        zones = [machine.zone for machine in out]
        if any(zones.count(zone) > self.plan.max_out_per_zone for zone in zones):
            return f"two machines of a zone out: {names}"
        acting = self._acting_leaders(state) if self.settings.single_leader else []
        return f"two hold the permit: {' and '.join(acting)}" if len(acting) > 1 else None

    def _acting_leaders(self, state: ModelState) -> list[str]:
        """Return the limiters that may act as the leader."""
        acting = []
        for name, core, snapshot in zip(self.names, self.cores, state.members, strict=True):
            if not self.snapshots.is_leader(snapshot):
                continue
            self.snapshots.load(core, snapshot)
            if register_of(core).proposer.may_act(float(state.clock)):
                acting.append(name)
        return acting

    def default_action(self, state: ModelState) -> Action:
        """Return the default action.

        It delivers the oldest message for a running limiter. Without one, it starts work that may start;
        without that, it advances the clock. With `rounds`, one round does all of this.
        """
        if self.settings.rounds:
            return Action(ActionKind.ROUND)
        for position, packet in enumerate(state.in_flight):
            if packet.destination not in state.stalled:
                return Action(ActionKind.DELIVER, position)
        for position, work in enumerate(state.work):
            if work.may_start(state.clock):
                return Action(ActionKind.START_WORK, position)
        return Action(ActionKind.TICK)

    def other_actions(self, state: ModelState) -> list[tuple[Action, int]]:
        """Return the faults that are left, each at a cost of one deviation, and the free ends of faults."""
        left = dict(zip(self.fault_kinds, state.faults_left, strict=True))
        return [
            *self._limiter_faults(state, left),
            *self._splits_and_heals(state, left),
            *self._message_faults(state, left),
            *self._machine_faults(state, left),
        ]

    def successor(self, state: ModelState, action: Action) -> ModelState:
        """Return the state after an action."""
        self.state = MutableState.from_state(state, self.plan, self.fault_kinds)
        self.handlers[action.kind](self.state, action)
        return self.state.freeze(self.fault_kinds)

    # Faults that are possible in a state

    def _limiter_faults(self, state: ModelState, left: dict[Fault, int]) -> list[tuple[Action, int]]:
        """Return the crash, stall and link faults of each limiter, and the ends of stalls."""
        actions = []
        for name in self.names:
            if name in state.stalled:
                actions.append((Action(ActionKind.WAKE, limiter=name), 0))
                continue
            if left.get(Fault.CRASH):
                actions.append((Action(ActionKind.CRASH, limiter=name), 1))
            if left.get(Fault.STALL):
                actions.append((Action(ActionKind.STALL, limiter=name), 1))
            for kind in (ActionKind.CUT, ActionKind.MUTE):
                if left.get(LINK_FAULTS[kind]) and not state.partitions:
                    actions.append((Action(kind, limiter=name), 1))
        return actions

    def _splits_and_heals(self, state: ModelState, left: dict[Fault, int]) -> list[tuple[Action, int]]:
        """Return the splits of two limiters with adjacent numbers from the others.

        During a partition, return only the action that heals it.
        """
        if state.partitions:
            return [(Action(ActionKind.HEAL), 0)]
        if not left.get(Fault.SPLIT) or len(self.names) < MIN_SPLIT_LIMITERS:
            return []
        pairs = zip(self.names, self.names[1:], strict=False)
        return [(Action(ActionKind.SPLIT, side=pair), 1) for pair in pairs]

    def _message_faults(self, state: ModelState, left: dict[Fault, int]) -> list[tuple[Action, int]]:
        """Return the faults of messages that are due, and the releases of delayed messages."""
        due = [
            position
            for position, packet in enumerate(state.in_flight)
            if packet.destination not in state.stalled
        ]
        faults = (
            (ActionKind.DELAY, Fault.DELAY),
            (ActionKind.DUPLICATE, Fault.DUPLICATE),
            (ActionKind.LOSE, Fault.DELAY),
        )
        actions = [
            (Action(kind, position), 1)
            for position in (due if self.settings.rounds else due[:1])
            for kind, fault in faults
            if left.get(fault)
        ]
        actions += [(Action(ActionKind.RELEASE, position), 0) for position in range(len(state.delayed))]
        return actions

    def _machine_faults(self, state: ModelState, left: dict[Fault, int]) -> list[tuple[Action, int]]:
        """Return the failures of machines, and the tick during which an operator delays the start of work."""
        actions = [
            (Action(ActionKind.MACHINE_FAILURE, position), 1)
            for position, work in enumerate(state.work)
            if left.get(Fault.MACHINE_FAILURE) and not work.working_until and not work.failed_until
        ]
        may_start = any(work.may_start(state.clock) for work in state.work)
        if left.get(Fault.SLOW_WORKER) and may_start:
            start_is_due = self.default_action(state).kind is ActionKind.START_WORK
            if self.settings.rounds or start_is_due:
                actions.append((Action(ActionKind.SLOW_TICK), 1))
        return actions

    # Actions

    def _run(self, state: MutableState, number: int, act: Callable[[Maintenance], None]) -> None:
        """Load one limiter's core, call `act` with it, and save it."""
        core = self.cores[number]
        self.snapshots.load(core, state.members[number])
        act(core)
        state.members[number] = self.snapshots.save(core)

    def _receive(self, state: MutableState, packet: Packet) -> None:
        """Pass a message to its destination."""
        number = self.names.index(packet.destination)
        self._run(state, number, lambda core: core.on_message(packet.source, packet.message))

    def _round(self, state: MutableState, action: Action) -> None:
        """Deliver all messages in order, including those they cause; start all work that may start; tick."""
        for core, snapshot in zip(self.cores, state.members, strict=True):
            self.snapshots.load(core, snapshot)
        waiting = []
        while state.in_flight:
            packet = state.in_flight.pop(0)
            if packet.destination in state.stalled:
                waiting.append(packet)
                continue
            self.cores[self.names.index(packet.destination)].on_message(packet.source, packet.message)
            state.flush_sent()
        state.in_flight = waiting
        for machine, work in state.work.items():
            if work.may_start(state.clock):
                state.start_work(machine, self.settings.work_s)
        state.advance_clock()
        for name, core in zip(self.names, self.cores, strict=True):
            if name not in state.stalled:
                core.tick()
        state.members = [self.snapshots.save(core) for core in self.cores]

    def _deliver(self, state: MutableState, action: Action) -> None:
        """Deliver a message."""
        self._receive(state, state.in_flight.pop(_position(action)))

    def _duplicate(self, state: MutableState, action: Action) -> None:
        """Deliver a message, and keep a copy that may be delivered again later."""
        state.use_fault(Fault.DUPLICATE)
        packet = state.in_flight.pop(_position(action))
        state.delayed.append(packet)
        self._receive(state, packet)

    def _delay(self, state: MutableState, action: Action) -> None:
        """Delay a message until it is released."""
        state.use_fault(Fault.DELAY)
        state.delayed.append(state.in_flight.pop(_position(action)))

    def _lose(self, state: MutableState, action: Action) -> None:
        """Drop a message."""
        state.use_fault(Fault.DELAY)
        state.in_flight.pop(_position(action))

    def _release(self, state: MutableState, action: Action) -> None:
        """Put a delayed message back in flight."""
        state.in_flight.append(state.delayed.pop(_position(action)))

    def _start_work(self, state: MutableState, action: Action) -> None:
        """Start an operator's work on a machine."""
        state.start_work(self.plan.machines[_position(action)].name, self.settings.work_s)

    def _tick(self, state: MutableState, action: Action) -> None:
        """Advance the clock by one second and tick all running limiters."""
        state.advance_clock()
        for number, name in enumerate(self.names):
            if name not in state.stalled:
                self._run(state, number, Maintenance.tick)

    def _slow_tick(self, state: MutableState, action: Action) -> None:
        """Advance the clock by one second although work may start."""
        state.use_fault(Fault.SLOW_WORKER)
        self._tick(state, action)

    def _fail_machine(self, state: MutableState, action: Action) -> None:
        """Make a machine fail for two seconds."""
        state.use_fault(Fault.MACHINE_FAILURE)
        name = self.plan.machines[_position(action)].name
        state.work[name] = state.work[name]._replace(failed_until=state.clock + 2)

    def _crash(self, state: MutableState, action: Action) -> None:
        """Restart a limiter without its state."""
        state.use_fault(Fault.CRASH)
        number = self.names.index(_limiter(action))
        self.cores[number] = self._launch(number, bootstrap=False)
        state.members[number] = self.snapshots.save(self.cores[number])
        state.sent = []

    def _stall(self, state: MutableState, action: Action) -> None:
        """Stop a limiter until it wakes."""
        state.use_fault(Fault.STALL)
        state.stalled = state.stalled | {_limiter(action)}

    def _wake(self, state: MutableState, action: Action) -> None:
        """Resume a stopped limiter."""
        name = _limiter(action)
        state.stalled = state.stalled - {name}
        self._run(state, self.names.index(name), Maintenance.tick)

    def _partition(self, state: MutableState, action: Action) -> None:
        """Break the links that the action names."""
        state.use_fault(LINK_FAULTS[action.kind])
        members = action.side or (_limiter(action),)
        state.partitions = state.partitions | {Partition(action.kind, members)}

    def _heal(self, state: MutableState, action: Action) -> None:
        """Restore all links."""
        state.partitions = frozenset()

    # Liveness

    def liveness_violation(self, state: ModelState) -> str | None:
        """Describe why the plan does not finish from a state if all faults end, None if it finishes.

        The plan is run from that state to find out.
        """
        state = state._replace(
            stalled=frozenset(),
            partitions=frozenset(),
            in_flight=state.in_flight + state.delayed,
            delayed=(),
        )
        deadline = state.clock + MAX_TICKS_TO_FINISH
        while state.clock < deadline:
            state = self.successor(state, self.default_action(state))
            violation = self.violation(state)
            if violation is not None:
                return violation
            if self._is_finished(state):
                return None
        values = [self._value(core, saved) for core, saved in zip(self.cores, state.members, strict=True)]
        return f"plan not finished after {MAX_TICKS_TO_FINISH} s without faults: {values}"

    def _is_finished(self, state: ModelState) -> bool:
        """Return whether some limiter knows that the plan is finished, and no machine is out."""
        if any(work.is_out(state.clock) for work in state.work):
            return False
        return any(
            core.is_finished(self._value(core, snapshot))
            for core, snapshot in zip(self.cores, state.members, strict=True)
        )

    def _value(self, core: Maintenance, snapshot: MemberSnapshot) -> PlanProgress:
        """Return the newest value that a limiter knows."""
        self.snapshots.load(core, snapshot)
        return register_of(core).value


def _position(action: Action) -> int:
    """Return the position of an action whose kind requires one."""
    if action.position is None:
        raise ValueError(f"action {action.kind}: expected a position, got none")
    return action.position


def _limiter(action: Action) -> str:
    """Return the limiter of an action whose kind requires one."""
    if action.limiter is None:
        raise ValueError(f"action {action.kind}: expected a limiter, got none")
    return action.limiter
