"""Saves and loads the fields of the real maintenance core of a limiter, and makes keys of them."""

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
CONFIGURATION = (Settings, RegisterSettings, AdoptedPlan, Plan)
LONGEST_AGO_S = -9.0  # what lies further back makes no difference
CACHED_KEYS = 50_000  # of members, kept from state to state


class FrozenDict(NamedTuple):
    """The items of a dict, hashable."""

    items: tuple[tuple[str, Any], ...]


class Field(NamedTuple):
    """A field with state: the position of its component, and its name."""

    component: int
    name: str


class CachedKey(NamedTuple):
    """A member's key at a time."""

    snapshot: MemberSnapshot
    clock: int
    key: Hashable


def member_of(core: Maintenance) -> PlanMember:
    """The parts of a core that has a plan, as all cores of the model have."""
    assert core.member is not None
    return core.member


def register_of(core: Maintenance) -> Register:
    """The register of a core that has a plan."""
    return member_of(core).register


def _components(core: Maintenance) -> tuple[object, ...]:
    """The objects that hold a core's state.

    Not among them: Maintenance itself, whose one time is that of StateFetch, and the PlanExchange, which does
    nothing here, as all limiters have the plan.
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
    """Snapshots of cores that are made of the same classes as the given one."""

    def __init__(self, core: Maintenance) -> None:
        components = _components(core)
        collaborators = (*map(type, components), type(core), type(core.port), Register, PeerReports)
        self.fields = tuple(
            Field(position, name)
            for position, component in enumerate(components)
            for name, value in vars(component).items()
            if not isinstance(value, (*CONFIGURATION, *collaborators))
        )
        self.is_leader_position = [field.name for field in self.fields].index("is_leader")
        self.cached_keys: dict[int, CachedKey] = {}

    def save(self, core: Maintenance) -> MemberSnapshot:
        """The values of all fields."""
        components = _components(core)
        values = [getattr(components[field.component], field.name) for field in self.fields]
        return tuple(FrozenDict(tuple(value.items())) if type(value) is dict else value for value in values)

    def load(self, core: Maintenance, snapshot: MemberSnapshot) -> None:
        """Put a core into a saved state."""
        components = _components(core)
        for field, value in zip(self.fields, snapshot, strict=True):
            thawed = dict(value.items) if type(value) is FrozenDict else value
            setattr(components[field.component], field.name, thawed)

    def is_leader(self, snapshot: MemberSnapshot) -> bool:
        """Whether the limiter's proposer is the leader."""
        return bool(snapshot[self.is_leader_position])

    def key(self, snapshot: MemberSnapshot, clock: int) -> Hashable:
        """The snapshot with times relative to the clock. Cached, as most steps change one member alone."""
        cached = self.cached_keys.get(id(snapshot))
        if cached is not None and cached.snapshot is snapshot and cached.clock == clock:
            return cached.key
        if len(self.cached_keys) >= CACHED_KEYS:
            self.cached_keys.clear()
        key = tuple(
            _relative(field.name, value, clock) for field, value in zip(self.fields, snapshot, strict=True)
        )
        # The entry keeps the snapshot alive, so that its id is not used again.
        self.cached_keys[id(snapshot)] = CachedKey(snapshot, clock, key)
        return key


def _relative(name: str, value: Any, clock: int) -> Hashable:
    """A field's value with times as seconds ago."""
    if name in TIME_FIELDS:
        return _seconds_ago(value, clock)
    if name not in TIMES_BY_NAME_FIELDS:
        return value  # type: ignore[no-any-return]  # every saved value is hashable
    return tuple(
        (
            entry,
            (_seconds_ago(time[0], clock), time[1]) if isinstance(time, tuple) else _seconds_ago(time, clock),
        )
        for entry, time in value.items
    )


def _seconds_ago(time: float, clock: int) -> float:
    """A time relative to the clock, the distant past all alike."""
    return round(max(LONGEST_AGO_S, time - clock), 2)
