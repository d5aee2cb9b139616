"""The mutable state of the model during a step, and the port through which the cores access it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..maintenance import Machine, Maintenance, Message, Plan, TrafficSample
from .snapshot import register_of
from .state import Fault, MachineWork, MemberSnapshot, ModelState, Packet, Partition


@dataclass
class MutableState:
    """A mutable copy of a ModelState. `sent` has the messages that the cores sent in the current step."""

    clock: int = 0
    members: list[MemberSnapshot] = field(default_factory=list)
    stalled: frozenset[str] = frozenset()
    partitions: frozenset[Partition] = frozenset()
    in_flight: list[Packet] = field(default_factory=list)
    delayed: list[Packet] = field(default_factory=list)
    work: dict[str, MachineWork] = field(default_factory=dict)  # By the machine's name.
    faults_left: dict[Fault, int] = field(default_factory=dict)
    sent: list[Packet] = field(default_factory=list)

    @classmethod
    def from_state(cls, state: ModelState, plan: Plan, kinds: Sequence[Fault]) -> MutableState:
        """Create a mutable copy of a state."""
        return cls(
            state.clock,
            list(state.members),
            state.stalled,
            state.partitions,
            list(state.in_flight),
            list(state.delayed),
            {machine.name: work for machine, work in zip(plan.machines, state.work, strict=True)},
            dict(zip(kinds, state.faults_left, strict=True)),
        )

    def freeze(self, kinds: Sequence[Fault]) -> ModelState:
        """Put the sent messages in flight and return the immutable state."""
        self.flush_sent()
        return ModelState(
            self.clock,
            tuple(self.members),
            self.stalled,
            self.partitions,
            tuple(self.in_flight),
            tuple(self.delayed),
            tuple(self.work.values()),
            tuple(self.faults_left[kind] for kind in kinds),
        )

    def connected(self, source: str, destination: str) -> bool:
        """Return whether messages from `source` reach `destination`."""
        return not any(partition.blocks(source, destination) for partition in self.partitions)

    def flush_sent(self) -> None:
        """Put the sent messages in flight, and drop those on broken links."""
        self.in_flight += [
            packet for packet in self.sent if self.connected(packet.source, packet.destination)
        ]
        self.sent = []

    def use_fault(self, kind: Fault) -> None:
        """Decrement the remaining number of faults of a kind."""
        self.faults_left[kind] -= 1

    def advance_clock(self) -> None:
        """Advance the clock by one second and end the work and failures that are over."""
        self.clock += 1
        self.work = {machine: work.at(self.clock) for machine, work in self.work.items()}

    def allow_start(self, machine: str, within_s: int) -> None:
        """Allow an operator to start work on a machine during the next `within_s` seconds."""
        work = self.work[machine]
        if not work.working_until:
            until = max(work.may_start_until, self.clock + within_s)
            self.work[machine] = work._replace(may_start_until=until)

    def start_work(self, machine: str, work_s: int) -> None:
        """Start `work_s` seconds of work on a machine."""
        self.work[machine] = MachineWork(working_until=self.clock + work_s)


class PortContext(Protocol):
    """The parts of the model that its ports share."""

    state: MutableState
    plan: Plan
    names: list[str]
    cores: list[Maintenance]
    sees_only_machines_out: bool


class LimiterPort:
    """One limiter's MaintenancePort, which acts on the mutable state of the current step."""

    def __init__(self, context: PortContext, name: str) -> None:
        self.context = context
        self.name = name

    def now(self) -> float:
        """Return the seconds on the model's clock."""
        return float(self.context.state.clock)

    def present_peers(self) -> list[str]:
        """Return the limiters that membership would consider alive: running and connected both ways."""
        state = self.context.state
        return [
            name
            for name in self.listed_peers()
            if name not in state.stalled
            and state.connected(self.name, name)
            and state.connected(name, self.name)
        ]

    def listed_peers(self) -> list[str]:
        """Return all other limiters."""
        return [name for name in self.context.names if name != self.name]

    def send(self, peer: str, message: Message) -> None:
        """Send a message to a peer. MutableState.flush_sent puts it in flight."""
        self.context.state.sent.append(Packet(self.name, peer, message))

    def machine_is_up(self, machine: Machine) -> bool:
        """Return whether discovery lists a machine's servers, as seen by this limiter."""
        work = self.context.state.work[machine.name]
        if not work.working_until and not work.failed_until:
            return True
        return self.context.sees_only_machines_out and not self._knows_to_be_out(machine)

    def _knows_to_be_out(self, machine: Machine) -> bool:
        """Return whether the machine is out according to the newest value that this limiter knows."""
        core = self.context.cores[self.context.names.index(self.name)]
        return register_of(core).value.phase(machine.name) is not None

    def withhold_traffic(self, machines: tuple[str, ...]) -> None:
        """Do nothing: the model has no traffic."""

    def machine_is_idle(self, machine: Machine) -> bool:
        """Return True: the model has no traffic."""
        return True

    def recent_traffic(self) -> TrafficSample:
        """Return a sample without requests: the model has no traffic."""
        return TrafficSample(0.0, 0.0, 0.0)

    def zone_load(self) -> dict[str, float]:
        """Return a load that differs by limiter.

        Without agreement, each limiter would therefore take out a different machine first.
        """
        machines = self.context.plan.machines
        own_position = self.context.names.index(self.name)
        return {
            machine.zone: float((position - own_position) % len(machines))
            for position, machine in enumerate(machines)
        }

    def log(self, event: str, **fields: Any) -> None:
        """Allow an operator to start work on a machine when its release is logged; ignore other events."""
        if event == "machine safe to work on":
            self.context.state.allow_start(fields["machine"], int(self.context.plan.start_within_s))
