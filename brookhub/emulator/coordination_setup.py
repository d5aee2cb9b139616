"""Gives an emulated limiter its membership and the coordination that an experiment turns on."""

from __future__ import annotations

from ..config.models import MembershipSpec
from ..coordination import TOPIC, ByCounter, ByPeers, Parts, Shared, SharedEjections, Turns, unpack
from ..membership import ALIVE, Membership
from .limiter import EmulatedLimiter
from .peers import FLEET, EmulatedMember, PeerNetwork, member_name


def coordinate_by_counter(limiter: EmulatedLimiter, seed: int, limiters: int) -> None:
    """Share a limiter's ejections by windows at the counter."""
    carrier = ByCounter(limiter, seed)
    ejections = limiter.ejections = SharedEjections(carrier, all_turns(limiter, seed, limiters))
    carrier.serve(ejections)
    limiter.gateway.use_coordination(Shared(ejections))


def join_membership(
    limiter: EmulatedLimiter, network: PeerNetwork, spec: MembershipSpec, limiters: int
) -> None:
    """Start the membership of a limiter, and the coordination by it.

    At the start of the run all members know each other; restarted ones begin with nothing.
    """
    seed = limiter.environment.seed
    member = limiter.member = EmulatedMember(network, member_name(limiter.index))

    def on_fleet_size_changed(live: int, rank: int, sure: int) -> None:
        limiter.gateway.on_membership_changed(live, rank, sure if spec.hard_by == "sure" else live)
        if limiter.recovery:
            limiter.recovery.set_fleet_size(sure)

    member.on_fleet_size_changed = on_fleet_size_changed
    names = [member_name(index) for index in range(limiters)]
    core = member.core = Membership(member, FLEET, member.name, names, seed, spec.period_s)
    if limiter.now == 0.0:
        for peer in core.members.values():
            peer.state, peer.incarnation = ALIVE, 0
        core.present = set(core.names)
    ejections = share_ejections(limiter, member, core, limiters) if spec.signals else None
    parts = Parts(seed, member.name, core.names, core.counted) if spec.subsets else None
    if ejections or parts:
        limiter.gateway.use_coordination(Shared(ejections, parts))
    core.start()


def share_ejections(
    limiter: EmulatedLimiter, member: EmulatedMember, core: Membership, limiters: int
) -> SharedEjections:
    """Share a limiter's ejections by the datagrams of its membership."""
    turns = all_turns(limiter, limiter.environment.seed, limiters)
    turns.told(core.present)
    ejections = limiter.ejections = SharedEjections(ByPeers(member, core), turns)

    def on_payload(peer: str, topic: int, data: bytes) -> None:
        if topic == TOPIC:
            ejections.received(peer, unpack(data))

    member.on_member_state_changed = lambda peer, state: turns.told(core.present)
    member.on_payload = on_payload
    return ejections


def all_turns(limiter: EmulatedLimiter, seed: int, limiters: int) -> Turns:
    """The epoch leases of a limiter that sees all others."""
    turns = Turns(seed, member_name(limiter.index))
    turns.told(member_name(index) for index in range(limiters))
    return turns
