"""The state of the model while a step is being made, and the port through which the cores see it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..maintenance import Machine, Maintenance, Message, Plan, TrafficSample
from .snapshot import register_of
from .state import Fault, MachineWork, MemberSnapshot, ModelState, Packet, Partition


@dataclass
class World:
    """A mutable copy of a state. `sent` has the messages that the cores sent in this step."""

    clock: int = 0
    members: list[MemberSnapshot] = field(default_factory=list)
    stalled: frozenset[str] = frozenset()
    partitions: frozenset[Partition] = frozenset()
    in_flight: list[Packet] = field(default_factory=list)
    delayed: list[Packet] = field(default_factory=list)
    work: dict[str, MachineWork] = field(default_factory=dict)  # by machine
    faults_left: dict[Fault, int] = field(default_factory=dict)
    sent: list[Packet] = field(default_factory=list)

    @classmethod
    def of(cls, state: ModelState, plan: Plan, kinds: Sequence[Fault]) -> World:
        """A copy of a state."""
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
        """The state, with the sent messages on their way as far as the links allow."""
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
        """Whether messages of one limiter reach another."""
        return not any(partition.blocks(source, destination) for partition in self.partitions)

    def flush_sent(self) -> None:
        """Put the sent messages on their way."""
        self.in_flight += [
            packet for packet in self.sent if self.connected(packet.source, packet.destination)
        ]
        self.sent = []

    def use_fault(self, kind: Fault) -> None:
        """One fault of this kind less is left."""
        self.faults_left[kind] -= 1

    def advance_clock(self) -> None:
        """One second passes at the machines."""
        self.clock += 1
        self.work = {machine: work.at(self.clock) for machine, work in self.work.items()}

    def allow_start(self, machine: str, within_s: int) -> None:
        """Somebody reads that a machine is safe to work on, and may begin for so long."""
        work = self.work[machine]
        if not work.working_until:
            until = max(work.may_start_until, self.clock + within_s)
            self.work[machine] = work._replace(may_start_until=until)

    def start_work(self, machine: str, work_s: int) -> None:
        """Somebody begins to work on a machine."""
        self.work[machine] = MachineWork(working_until=self.clock + work_s)


class Surroundings(Protocol):
    """What the ports share."""

    world: World
    plan: Plan
    names: list[str]
    cores: list[Maintenance]
    sees_only_machines_out: bool


class Port:
    """One limiter's MaintenancePort, whose surroundings are the world of the step."""

    def __init__(self, shared: Surroundings, name: str) -> None:
        self.shared = shared
        self.name = name

    def now(self) -> float:
        """Seconds on the model's clock."""
        return float(self.shared.world.clock)

    def present_peers(self) -> list[str]:
        """The others that membership would see alive: running and connected both ways."""
        world = self.shared.world
        return [
            name
            for name in self.listed_peers()
            if name not in world.stalled
            and world.connected(self.name, name)
            and world.connected(name, self.name)
        ]

    def listed_peers(self) -> list[str]:
        """All others."""
        return [name for name in self.shared.names if name != self.name]

    def send(self, peer: str, message: Message) -> None:
        """Send a message."""
        self.shared.world.sent.append(Packet(self.name, peer, message))

    def machine_is_up(self, machine: Machine) -> bool:
        """Whether the list has a machine's servers, as far as this limiter sees it."""
        work = self.shared.world.work[machine.name]
        if not work.working_until and not work.failed_until:
            return True
        return self.shared.sees_only_machines_out and not self._knows_to_be_out(machine)

    def _knows_to_be_out(self, machine: Machine) -> bool:
        """Whether the machine is out by the newest value that this limiter knows."""
        core = self.shared.cores[self.shared.names.index(self.name)]
        return register_of(core).value.phase(machine.name) is not None

    def withhold_traffic(self, machines: tuple[str, ...]) -> None:
        """Nothing: there is no traffic in the model."""

    def machine_is_idle(self, machine: Machine) -> bool:
        """Always: there is no traffic in the model."""
        return True

    def recent_traffic(self) -> TrafficSample:
        """None."""
        return TrafficSample(0.0, 0.0, 0.0)

    def zone_load(self) -> dict[str, float]:
        """Each limiter sees another load, so that each by itself would take another machine first."""
        machines = self.shared.plan.machines
        own = self.shared.names.index(self.name)
        return {
            machine.zone: float((position - own) % len(machines)) for position, machine in enumerate(machines)
        }

    def log(self, event: str, **facts: Any) -> None:
        """People wait for the line that a machine is safe to work on."""
        if event == "machine safe to work on":
            self.shared.world.allow_start(facts["machine"], int(self.shared.plan.start_within_s))
