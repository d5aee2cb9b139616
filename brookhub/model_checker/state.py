"""States and actions of the maintenance model. Times in whole seconds on the model's one clock."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

from ..maintenance import Message


class Fault(StrEnum):
    """Kinds of faults; a state has a number of each left."""

    CRASH = "crash"  # a limiter restarts without its state
    STALL = "stall"  # a limiter is stopped until it wakes
    CUT = "cut"  # a limiter is cut off, both ways
    MUTE = "mute"  # what a limiter sends is lost
    SPLIT = "split"  # two limiters are cut off from the others
    DELAY = "hold"  # a message is delayed, or lost
    DUPLICATE = "double"  # a message is delivered, and once more later
    SLOW_WORKER = "slow"  # whoever may start to work on a machine takes time
    MACHINE_FAILURE = "fail"  # a machine goes down on its own for a while


class ActionKind(StrEnum):
    """Kinds of actions. The values are printed in trails (`brookhub lab check`)."""

    ROUND = "round"  # all messages, then the work that may start, then the clock
    DELIVER = "deliver"
    DUPLICATE = "double"
    DELAY = "hold"
    LOSE = "lose"
    RELEASE = "release"  # a delayed message is on its way again
    START_WORK = "start"
    TICK = "tick"
    SLOW_TICK = "dawdle"  # the clock moves on, though work may start
    CRASH = "crash"
    STALL = "stall"
    WAKE = "wake"
    CUT = "cut"
    MUTE = "mute"
    SPLIT = "split"
    HEAL = "heal"
    MACHINE_FAILURE = "fail"


class Action(NamedTuple):
    """One step. It has at most one target: a position (of a message or machine), a limiter, or a side."""

    kind: ActionKind
    position: int | None = None
    limiter: str | None = None
    side: tuple[str, str] | None = None

    def __str__(self) -> str:
        """The action as it is printed in a trail."""
        targets = (self.position, self.limiter, self.side)
        return " ".join([self.kind.value, *(str(target) for target in targets if target is not None)])


class Partition(NamedTuple):
    """A fault of the links: CUT or MUTE with one member, or SPLIT with the members of one side."""

    kind: ActionKind
    members: tuple[str, ...]

    def blocks(self, source: str, destination: str) -> bool:
        """Whether a message between two limiters is lost."""
        if self.kind is ActionKind.MUTE:
            return source in self.members
        if self.kind is ActionKind.CUT:
            return source in self.members or destination in self.members
        return (source in self.members) != (destination in self.members)


class Packet(NamedTuple):
    """A message on its way."""

    source: str
    destination: str
    message: Message


class MachineWork(NamedTuple):
    """What happens at a machine, each until a time; 0: not."""

    may_start_until: int = 0  # people may begin to work
    working_until: int = 0  # it is down for work
    failed_until: int = 0  # it is down on its own

    def at(self, clock: int) -> MachineWork:
        """The same with everything that is over by then set to 0."""
        return MachineWork(*(until if until > clock else 0 for until in self))

    def may_start(self, clock: int) -> bool:
        """Whether work may begin that has not yet."""
        return self.may_start_until > clock and not self.working_until

    def is_out(self, clock: int) -> bool:
        """Whether the machine counts as out for work."""
        return bool(self.working_until) or self.may_start_until > clock


MemberSnapshot = tuple[Any, ...]  # the values of a limiter's fields (snapshot.MemberSnapshots)


class ModelState(NamedTuple):
    """Everything that the model is in at a moment."""

    clock: int
    members: tuple[MemberSnapshot, ...]
    stalled: frozenset[str]
    partitions: frozenset[Partition]
    in_flight: tuple[Packet, ...]  # oldest first
    delayed: tuple[Packet, ...]
    work: tuple[MachineWork, ...]  # by the machines' positions in the plan
    faults_left: tuple[int, ...]  # by the model's kinds of faults
