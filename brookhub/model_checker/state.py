"""States and actions of the maintenance model. Times are in whole seconds on the model's single clock."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

from ..maintenance import Message


class Fault(StrEnum):
    """Kinds of faults. Each state has a remaining number of faults of each kind."""

    CRASH = "crash"  # A limiter restarts without its state.
    STALL = "stall"  # A limiter is stopped until it wakes.
    CUT = "cut"  # A limiter is cut off in both directions.
    MUTE = "mute"  # All messages that a limiter sends are lost.
    SPLIT = "split"  # Two limiters are cut off from the others.
    DELAY = "hold"  # A message is delayed or lost.
    DUPLICATE = "double"  # A message is delivered, and a copy of it later.
    SLOW_WORKER = "slow"  # An operator who may start to work on a machine delays the start.
    MACHINE_FAILURE = "fail"  # A machine fails for some seconds without being worked on.


class ActionKind(StrEnum):
    """Kinds of actions. The values are printed in trails (`brookhub experiments check`)."""

    ROUND = "round"  # All messages are delivered, all work that may start is started, and the clock advances.
    DELIVER = "deliver"
    DUPLICATE = "double"
    DELAY = "hold"
    LOSE = "lose"
    RELEASE = "release"  # A delayed message is put back in flight.
    START_WORK = "start"
    TICK = "tick"
    SLOW_TICK = "dawdle"  # The clock advances although work may start.
    CRASH = "crash"
    STALL = "stall"
    WAKE = "wake"
    CUT = "cut"
    MUTE = "mute"
    SPLIT = "split"
    HEAL = "heal"
    MACHINE_FAILURE = "fail"


class Action(NamedTuple):
    """One step of a trail.

    It has no target or exactly one: the position of a message or machine, a limiter, or one side of a split.
    """

    kind: ActionKind
    position: int | None = None
    limiter: str | None = None
    side: tuple[str, str] | None = None

    def __str__(self) -> str:
        """Return the action as it is printed in a trail."""
        targets = (self.position, self.limiter, self.side)
        return " ".join([self.kind.value, *(str(target) for target in targets if target is not None)])


class Partition(NamedTuple):
    """A fault of the links: CUT or MUTE of one member, or SPLIT with the members of one side."""

    kind: ActionKind
    members: tuple[str, ...]

    def blocks(self, source: str, destination: str) -> bool:
        """Return whether a message from `source` to `destination` is lost."""
        if self.kind is ActionKind.MUTE:
            return source in self.members
        if self.kind is ActionKind.CUT:
            return source in self.members or destination in self.members
        return (source in self.members) != (destination in self.members)


class Packet(NamedTuple):
    """A message in flight or delayed."""

    source: str
    destination: str
    message: Message


class MachineWork(NamedTuple):
    """The work on a machine and its failures; each field is the time until which it applies, 0 for never."""

    may_start_until: int = 0  # An operator may start to work on the machine.
    working_until: int = 0  # The machine is down for work.
    failed_until: int = 0  # The machine is down because of a failure.

    def at(self, clock: int) -> MachineWork:
        """Return a copy for a given time, in which the fields that no longer apply are 0."""
        return MachineWork(*(until if until > clock else 0 for until in self))

    def may_start(self, clock: int) -> bool:
        """Return whether work may start and has not started."""
        return self.may_start_until > clock and not self.working_until

    def is_out(self, clock: int) -> bool:
        """Return whether the machine counts as out of service for work."""
        return bool(self.working_until) or self.may_start_until > clock


# The values of one limiter's fields, in the order of MemberSnapshots.fields.
MemberSnapshot = tuple[Any, ...]


class ModelState(NamedTuple):
    """The complete immutable state of the model."""

    clock: int
    members: tuple[MemberSnapshot, ...]
    stalled: frozenset[str]
    partitions: frozenset[Partition]
    in_flight: tuple[Packet, ...]  # The oldest message first.
    delayed: tuple[Packet, ...]
    work: tuple[MachineWork, ...]  # In the order of the machines in the plan.
    faults_left: tuple[int, ...]  # In the order of Model.fault_kinds.
