"""The maintenance core of one limiter: it dispatches plans, ticks and messages to its components.

Every limiter runs one. `tick` must be called at intervals well below a lease, `on_message` with each message.
A majority of the voters holds the plan's progress (register.py), and the leader among them acts on it
(leader.py). Any change that needs a majority is replicated before it takes effect.
"""

from __future__ import annotations

from .errors import PlanRejectedError
from .follower import Follower
from .messages import (
    ChunkRequest,
    Commit,
    CommitAck,
    FetchReply,
    FetchRequest,
    Message,
    PlanAnnouncement,
    PlanChunk,
    PlanProgress,
    RegisterMessage,
    Relay,
    Report,
)
from .peer_reports import PeerReports
from .plan import AdoptedPlan, Plan
from .plan_exchange import PlanExchange
from .plan_member import PlanMember
from .ports import MaintenancePort
from .register import DEFAULT_ROLES, Register, RegisterRoles
from .settings import Settings
from .voter import RegisterSettings

# Number of rounds of fetch requests that are only sent directly. In later rounds, requests also go through a
# third limiter. Up to two lost datagrams may be chance and do not indicate a cut link.
DIRECT_FETCH_ROUNDS = 3
DEFAULT_SETTINGS = Settings()


class Maintenance:
    """The maintenance core of one limiter. `member` is None until the first plan is adopted."""

    def __init__(
        self,
        port: MaintenancePort,
        name: str,
        settings: Settings = DEFAULT_SETTINGS,
        bootstrap: bool = False,
        roles: RegisterRoles = DEFAULT_ROLES,
    ) -> None:
        """Create the core of the limiter `name`.

        With `bootstrap` it votes from the start, which is only safe if all limiters start together
        (RegisterSettings).
        """
        self.port = port
        self.name = name
        self.settings = settings
        self.bootstrap = bootstrap
        self.roles = roles
        self.started_at = port.now()
        self.adopted: AdoptedPlan | None = None
        self.member: PlanMember | None = None
        self.exchange = PlanExchange(port, name, settings.announce_interval_s, self.submit_plan)
        self.follower = Follower(port)
        self.reports = PeerReports(port, name, settings)

    @property
    def register(self) -> Register | None:
        """The replicated register, None until the first plan is adopted."""
        return self.member.register if self.member else None

    # Plan

    def submit_plan(self, plan: Plan) -> None:
        """Adopt a plan from the operator or from a peer. A plan that is already held has no effect.

        Raises PlanRejectedError if the plan conflicts with the held one or is older.
        """
        digest = plan.digest()
        if self.adopted is None:
            self.adopted = AdoptedPlan(plan, digest)
            self.follower.adopted = self.adopted
        else:
            self._check_update(self.adopted, plan, digest)
            if digest == self.adopted.digest:
                return
            self.adopted.plan = plan
            self.adopted.digest = digest
        self.port.log("plan adopted", version=plan.version, digest=digest, machines=len(plan.machines))
        self.exchange.adopt(self.adopted)
        if self.member is None:
            self.member = self._join(self.adopted)
        self._apply_known_progress(self.member)

    def _check_update(self, held: AdoptedPlan, plan: Plan, digest: str) -> None:
        """Raise PlanRejectedError if a plan can't replace the held one."""
        version = held.plan.version
        if plan.version == version and digest != held.digest:
            self.exchange.log_conflict(version, digest)
            raise PlanRejectedError(
                f"version {version} is held with digest {held.digest}, this one has digest {digest}"
            )
        if plan.version < version:
            raise PlanRejectedError(f"version {plan.version} is older than {version}, digest {held.digest}")
        if plan.voters != held.plan.voters:
            raise PlanRejectedError("voters can't be changed: name the new ones in voters_next")

    def _join(self, adopted: AdoptedPlan) -> PlanMember:
        """Create the register and the other components that need a plan."""
        register_settings = RegisterSettings(
            self.name,
            adopted.plan.voters,
            self.settings.lease_s,
            adopted.plan.start_within_s,
            self.bootstrap,
        )
        register = Register(register_settings, self, self.started_at, self.roles)
        return PlanMember(adopted, self.port, register, self.follower, self.reports, self.settings)

    def _apply_known_progress(self, member: PlanMember) -> None:
        """Withhold traffic according to the newest known progress.

        Called after a plan is adopted, because only the new plan may define the machines that are out.
        """
        voter = member.register.voter
        committed_is_newer = self.follower.committed_revision > voter.revision
        self.follower.withhold_traffic(self.follower.committed if committed_is_newer else voter.value)

    def is_finished(self, progress: PlanProgress) -> bool:
        """Return whether the plan is finished at this progress; False without a plan."""
        return self.member is not None and self.member.is_finished(progress)

    # Clock and messages

    def tick(self) -> None:
        """Do the work that is due at the current time; called periodically."""
        now = self.port.now()
        self.exchange.tick(now)
        if self.member is not None:
            self.member.tick(now)

    def on_message(self, peer: str, message: Message) -> None:
        """Handle a message from a peer."""
        now = self.port.now()
        if isinstance(message, (PlanAnnouncement, ChunkRequest, PlanChunk)):
            self.exchange.on_message(peer, message, now)
        elif isinstance(message, Commit):
            self._on_commit(peer, message, now)
        elif isinstance(message, CommitAck):
            self._on_commit_ack(peer, message)
        elif isinstance(message, Relay):
            self._on_relay(message)
        elif self.member is not None:
            self.member.register.on_message(peer, message, now)

    def _on_commit(self, peer: str, message: Commit, now: float) -> None:
        """Handle the leader's notification of a committed value, and acknowledge it."""
        if message.revision >= self.follower.committed_revision:
            self.follower.commit(message.revision, message.value)
        if self.member is not None:
            voter = self.member.register.voter
            if voter.abstains or not voter.has_vote():
                voter.learn(message.revision, message.value)
        self.port.send(peer, CommitAck(self.follower.committed_revision, self.own_report()))
        announcement = PlanAnnouncement(message.value.version, message.value.digest)
        self.exchange.on_message(peer, announcement, now)

    def _on_commit_ack(self, peer: str, message: CommitAck) -> None:
        """Record the report of a limiter without a vote, and step down if it knows a later ballot."""
        self.record_report(peer, message.report)
        if self.member is not None:
            self.member.register.proposer.on_later_commit(message.revision)

    def _on_relay(self, message: Relay) -> None:
        """Forward a relayed message, or handle it if this limiter is the destination."""
        if message.destination != self.name:
            self.port.send(message.destination, message)
        elif message.origin != self.name:
            self.on_message(message.origin, message.message)

    # RegisterHost

    def send_register_message(self, peer: str, message: RegisterMessage) -> None:
        """Send a register message to a peer.

        A voter without state may need every voter's reply. If replies are missing, the link may be cut one
        way; fetch requests and replies then also go through a third limiter, a different one each round.
        """
        self.port.send(peer, message)
        if not isinstance(message, (FetchRequest, FetchReply)) or message.number <= DIRECT_FETCH_ROUNDS:
            return
        if self.member is None or peer not in self.member.register.other_voters():
            return
        relays = sorted(name for name in self.port.present_peers() if name != peer)
        if relays:
            relay = relays[message.number % len(relays)]
            self.port.send(relay, Relay(self.name, peer, message))

    def own_report(self) -> Report:
        """Return the report that this limiter sends with each acceptance and acknowledgement."""
        traffic = self.port.recent_traffic()
        return Report(self.follower.idle_machines(), traffic.requests, traffic.served, traffic.served_seconds)

    def record_report(self, peer: str, report: Report) -> None:
        """Record a report from another limiter."""
        self.reports.record(peer, report)

    def value_learned(self, value: PlanProgress) -> None:
        """Withhold traffic as a newly learned progress requires; it may not be committed yet."""
        self.follower.withhold_traffic(value)

    def listed_peers(self) -> list[str]:
        """Return all other limiters, sorted by name."""
        return sorted(self.port.listed_peers())
