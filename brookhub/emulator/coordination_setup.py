"""Setup of an emulated limiter's membership and of the coordination that an experiment enables."""

from __future__ import annotations

from ..config.models import MembershipSpec
from ..coordination import (
    REPORT_TOPIC,
    CounterReportTransport,
    EpochLeases,
    FleetCoordinator,
    GossipReportTransport,
    OutlierDetector,
    SubsetAssignment,
    UnsharedClock,
    decode_reports,
)
from ..membership import Membership, MembershipSettings
from .limiter import EmulatedLimiter
from .peers import FLEET, EmulatedMember, PeerNetwork, member_name


def coordinate_by_counter(limiter: EmulatedLimiter, seed: int, limiters: int) -> None:
    """Share a limiter's ejections with the fleet through reports at the counter."""
    transport = CounterReportTransport(limiter, seed)
    detector = OutlierDetector(UnsharedClock(limiter), transport, all_leases(limiter, seed, limiters))
    transport.listener = detector
    limiter.detector = detector
    limiter.gateway.use_coordination(FleetCoordinator(detector))


def join_membership(
    limiter: EmulatedLimiter, network: PeerNetwork, spec: MembershipSpec, limiters: int
) -> None:
    """Start a limiter's membership and the coordination that uses it.

    At the start of the run all members know each other. A restarted member knows none of the others.
    """
    seed = limiter.environment.seed
    member = EmulatedMember(network, member_name(limiter.index))
    limiter.member = member

    def on_fleet_size_changed(live: int, rank: int, possible: int) -> None:
        limiter.gateway.on_membership_changed(live, rank, possible if spec.hard_by == "sure" else live)
        if limiter.recovery:
            limiter.recovery.set_fleet_size(possible)

    member.fleet_size_handler = on_fleet_size_changed
    settings = MembershipSettings(FLEET, member.name, seed, spec.period_s)
    core = Membership(member, settings, [member_name(index) for index in range(limiters)])
    member.core = core
    if limiter.now == 0.0:
        core.assume_all_alive()
    detector = share_ejections(limiter, member, core, limiters) if spec.signals else None
    assignment = SubsetAssignment(seed, member.name, core.names, core.live_names) if spec.subsets else None
    if detector or assignment:
        limiter.gateway.use_coordination(FleetCoordinator(detector, assignment))
    core.start()


def share_ejections(
    limiter: EmulatedLimiter, member: EmulatedMember, core: Membership, limiters: int
) -> OutlierDetector:
    """Share a limiter's ejections with the fleet through the datagrams of its membership."""
    leases = all_leases(limiter, limiter.environment.seed, limiters)
    leases.set_present(core.present)
    detector = OutlierDetector(member, GossipReportTransport(core), leases)
    limiter.detector = detector

    def on_payload(peer: str, topic: int, data: bytes) -> None:
        if topic == REPORT_TOPIC:
            detector.on_reports(peer, decode_reports(data))

    member.member_state_handler = lambda peer, state: leases.set_present(core.present)
    member.payload_handler = on_payload
    return detector


def all_leases(limiter: EmulatedLimiter, seed: int, limiters: int) -> EpochLeases:
    """Return the epoch leases of a limiter, with all limiters marked as present."""
    leases = EpochLeases(seed, member_name(limiter.index))
    leases.set_present(member_name(index) for index in range(limiters))
    return leases
