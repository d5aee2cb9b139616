"""Snapshots of the fields of a limiter's real maintenance core, and keys that identify equal snapshots."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any, NamedTuple

from ..maintenance import Maintenance, Plan, Settings
from ..maintenance.peer_reports import PeerReports
from ..maintenance.plan import AdoptedPlan
from ..maintenance.plan_member import PlanMember
from ..maintenance.register import Register
from ..maintenance.voter import RegisterSettings
from .state import MemberSnapshot

TIME_FIELDS = frozenset(
    {
        "campaign_at",
        "slot_free_since",
        "last_unhealthy_at",
        "started_at",
        "lease_end",
        "requested_at",
        "prepare_sent_at",
        "leader_lease_end",
        "accept_sent_at",
    }
)
TIMES_BY_NAME_FIELDS = frozenset({"reports", "last_present", "phase_since"})
CONFIGURATION_TYPES = (Settings, RegisterSettings, AdoptedPlan, Plan)
MIN_RELATIVE_TIME_S = -9.0  # Times further in the past are equivalent.
CACHED_KEYS = 50_000  # Maximum number of snapshots whose keys are cached.


class FrozenDict(NamedTuple):
    """The items of a dict in hashable form."""

    items: tuple[tuple[str, Any], ...]


class Field(NamedTuple):
    """A field that holds state, identified by the position of its component and its name."""

    component: int
    name: str


class CachedKey(NamedTuple):
    """The key of a member's snapshot at a time of the model's clock."""

    snapshot: MemberSnapshot
    clock: int
    key: Hashable


def member_of(core: Maintenance) -> PlanMember:
    """Return the PlanMember of a core. Every core of the model has a plan, and so a PlanMember."""
    assert core.member is not None
    return core.member


def register_of(core: Maintenance) -> Register:
    """Return the register of a core that has a plan."""
    return member_of(core).register


def _components(core: Maintenance) -> tuple[object, ...]:
    """Return the objects that hold a core's state.

    Maintenance itself is left out, because its only time is the same as that of StateFetch. PlanExchange is
    left out, because it is inactive in the model, where all limiters have the plan.
    """
    member = member_of(core)
    register = member.register
    return (
        core.follower,
        core.reports,
        member.candidacy,
        member.leader,
        member.phases,
        member.halting,
        register.voter,
        register.state_fetch,
        register.proposer,
    )


class MemberSnapshots:
    """Saver and loader of snapshots of cores that consist of the same classes as a given core."""

    def __init__(self, core: Maintenance) -> None:
        components = _components(core)
        collaborators = (*map(type, components), type(core), type(core.port), Register, PeerReports)
        self.fields = tuple(
            Field(position, name)
            for position, component in enumerate(components)
            for name, value in vars(component).items()
            if not isinstance(value, (*CONFIGURATION_TYPES, *collaborators))
        )
        self.is_leader_position = [field.name for field in self.fields].index("is_leader")
        self.cached_keys: dict[int, CachedKey] = {}

    def save(self, core: Maintenance) -> MemberSnapshot:
        """Return the values of all fields of a core."""
        components = _components(core)
        values = [getattr(components[field.component], field.name) for field in self.fields]
        return tuple(FrozenDict(tuple(value.items())) if type(value) is dict else value for value in values)

    def load(self, core: Maintenance, snapshot: MemberSnapshot) -> None:
        """Set a core to a saved state."""
        components = _components(core)
        for field, value in zip(self.fields, snapshot, strict=True):
            restored = dict(value.items) if type(value) is FrozenDict else value
            setattr(components[field.component], field.name, restored)

    def is_leader(self, snapshot: MemberSnapshot) -> bool:
        """Return whether the limiter's proposer is the leader."""
        return bool(snapshot[self.is_leader_position])

    def key(self, snapshot: MemberSnapshot, clock: int) -> Hashable:
        """Return the snapshot with times relative to the clock.

        Keys are cached, as most steps change only one member.
        """
        cached = self.cached_keys.get(id(snapshot))
        if cached is not None and cached.snapshot is snapshot and cached.clock == clock:
            return cached.key
        if len(self.cached_keys) >= CACHED_KEYS:
            self.cached_keys.clear()
        key = tuple(
            _relative_value(field.name, value, clock)
            for field, value in zip(self.fields, snapshot, strict=True)
        )
        # The entry keeps the snapshot alive, so that its id is not reused for another object.
        self.cached_keys[id(snapshot)] = CachedKey(snapshot, clock, key)
        return key


def _relative_value(name: str, value: Any, clock: int) -> Hashable:
    """Return a field's value with its times relative to the clock."""
    if name in TIME_FIELDS:
        return _relative_time(value, clock)
    if name not in TIMES_BY_NAME_FIELDS:
        return value  # type: ignore[no-any-return]  # Every saved value is hashable.
    return tuple(
        (
            entry,
            (_relative_time(time[0], clock), time[1])
            if isinstance(time, tuple)
            else _relative_time(time, clock),
        )
        for entry, time in value.items
    )


def _relative_time(time: float, clock: int) -> float:
    """Return a time relative to the clock, limited to MIN_RELATIVE_TIME_S in the past."""
    return round(max(MIN_RELATIVE_TIME_S, time - clock), 2)
