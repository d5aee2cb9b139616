"""Shared outlier ejection: what one limiter found out about a server, told to all before each pays for it.

A limiter that a server failed reports it; once WITNESSES of them did, all eject that server for a few
seconds. Who holds the turn for it (turns.py) probes it once meanwhile: a failure keeps it out, a success has
all come back. A report only ever lowers use: without any, and whenever one is withdrawn, each limiter decides
by what it saw itself.

Not believed: one that finds fault with more than DOUBTED of the servers (it is rather its own link), one that
just woke (its attempts timed out while it stood still). At most EJECTED_SHARE of all servers are out at a
time, the best attested first. I/O-free: a Carrier brings reports to the others, by membership or by the
counter (carriers.py).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Callable, Hashable, NamedTuple, Protocol

from ..model import Outcome
from .epoch_leases import GRACE, Turns

WITNESSES = 2  # limiters whose report it takes: one alone may be the one at fault
WITNESSES_ENOUGH = 3  # beyond which one more is not told: a fleet that fails together would only shout
# Seconds that a report counts, and the least time that a server is out: longer than a death takes to be
# known.
REPORT_TTL = 5.0
# Seconds that it is out at most without a new report, doubled up to it from REPORT_TTL: two epochs of turns.
# Each probe costs one request: at 10 s a server that was bad for a minute cost the fleet 11 to 14, at 20 s 8
# to 9.
EJECTED_MOST = 20.0
# Of that time, from which who holds the turn probes it: the rest is for a holder that has died
PROBE_AT = 0.5
PROBE_FOR = 2.0  # s that a probe may be out until the next: about a client timeout
# Share and number of the servers that one limiter may find fault with and be believed.
DOUBTED, DOUBTED_LEAST = 0.25, 2
EJECTED_SHARE = 0.3  # of all servers, out at the most: what is left has to carry the load
# Share of attempts elsewhere, over so many seconds, given up for their slowness, beyond which one more says
# nothing of its server: where service times scatter, healthy servers have them all the time.
SLOW_USUAL, SLOW_OVER = 0.02, 10.0
# Seconds between looks at the clock; seconds that it may be late until this process counts as stopped.
BEAT, STOPPED = 0.25, 1.0
# Seconds after waking for which what was ejected stays so: longer than this limiter takes no turn.
KEPT_ON_WAKING = 2 * GRACE
BATCH = 0.02  # s that reports wait for others to go with them: zones are lost at one stroke
ENDS_KEPT = 500  # ends of attempts: bounds the work of a look


class Health(IntEnum):
    """What a report says of a server; on the wire."""

    FAILING = 1
    HEALTHY = 2
    STILL_FAILING = 3  # the one whose turn it was probed it in vain


class Report(NamedTuple):
    """What one limiter tells the others of a server."""

    server: int
    health: Health


class AttemptEnd(NamedTuple):
    """The end of an attempt: when (s), where, and whether it was given up for its slowness."""

    at: float
    server: int
    slow: bool


class Carrier(Protocol):
    """How reports travel, and what time it is.

    `now`: s on a clock that never jumps; `calendar`: s since some moment that is the same at all limiters, to
    within a small part of a turn.
    """

    @property
    def now(self) -> float:
        """Seconds on this limiter's clock."""

    @property
    def calendar(self) -> float:
        """Seconds on the clock that all share."""

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds."""

    def send(self, reports: list[Report]) -> None:
        """Tell the others; each may be lost."""


@dataclass(eq=False)
class Ejection:
    """A server that reports are out about, ejected or not. Times in s."""

    witnesses: dict[Hashable, float] = field(default_factory=dict)  # when each reported it last
    since: float = 0.0  # when it was ejected first
    until: float = 0.0  # when it is over; 0: not ejected
    lasts: float = REPORT_TTL
    probe_at: float = 0.0
    probed: bool = False  # by this limiter, which has not reported yet what came of it
    extended_at: float = float("-inf")  # when a probe failed last
    allowed: bool = False  # within EJECTED_SHARE

    def active(self, now: float) -> bool:
        """Whether the server gets nothing now, but a probe."""
        return self.allowed and now < self.until

    def over(self, now: float) -> bool:
        """Whether the server was ejected and is used again."""
        return 0 < self.until <= now

    def fresh_witnesses(self, now: float) -> int:
        """How many reports still count."""
        return sum(now - at < REPORT_TTL for at in self.witnesses.values())

    def eject(self, now: float) -> None:
        """Leave the server out from now on, for as long as it lasts."""
        self.until, self.probe_at = now + self.lasts, now + PROBE_AT * self.lasts


class SharedEjections:
    """One limiter's part.

    The decisions ask `is_ejected` and `may_probe`, and tell `attempt_started`, `attempt_ended` and `listed`;
    the carrier's side tells `received`, `counted` and `woke`. Servers by their ids, times in s.
    """

    def __init__(self, carrier: Carrier, turns: Turns) -> None:
        self.carrier, self.turns, self.me = carrier, turns, turns.me
        self.ejections: dict[int, Ejection] = {}
        self.faults: dict[int, float] = {}  # servers that failed this limiter, when last
        self.reported: dict[Hashable, dict[int, float]] = {}  # witness -> servers it reported, when
        self.waiting: dict[int, Health] = {}  # reports that wait to go together
        self.started_at: dict[int, float] = {}
        self.servers = self.sent = self.disbelieved = 0
        self.quiet_until, self.beat_at = 0.0, carrier.now
        self.ends: deque[AttemptEnd] = deque(maxlen=ENDS_KEPT)
        carrier.later(BEAT, self.beat)

    # what the decisions ask

    def is_ejected(self, server: int) -> bool:
        """Whether to send it nothing now, but what `may_probe` allows."""
        self.look_for_a_stop()
        ejection = self.ejections.get(server)
        return ejection is not None and ejection.active(self.carrier.now)

    def may_probe(self, server: int) -> bool:
        """Whether this limiter is to probe an ejected server: once, with a request that may run again."""
        self.look_for_a_stop()
        ejection, now = self.ejections.get(server), self.carrier.now
        if ejection is None or not ejection.active(now) or now < ejection.probe_at:
            return False
        return self.turns.mine(f"sick/{server}", now, self.carrier.calendar)

    # what the decisions tell

    def listed(self, servers: dict[int, float]) -> None:
        """The servers that there are, and since when each is up (s); one that restarted is judged afresh."""
        for server in [*self.ejections, *self.faults]:
            if servers.get(server) != self.started_at.get(server):
                self.ejections.pop(server, None)
                self.faults.pop(server, None)
        self.started_at, self.servers = servers, len(servers)
        self.limit_ejections()

    def attempt_started(self, server: int) -> None:
        """An attempt goes to it: if it was this one's turn to probe it, that was it for a while."""
        if self.may_probe(server):
            ejection = self.ejections[server]
            ejection.probe_at, ejection.probed = self.carrier.now + PROBE_FOR, True

    def attempt_ended(self, server: int, outcome: Outcome) -> None:
        """How an attempt ended there, with nothing else to blame than the server or the way to it."""
        self.look_for_a_stop()
        slow = outcome in (Outcome.CANCELLED, Outcome.TIMEOUT)
        usual = slow and self.slow_is_usual(server)
        self.ends.append(AttemptEnd(self.carrier.now, server, slow))
        if outcome is Outcome.OK:
            self.server_answered(server)
        elif not usual:
            self.server_failed(server)

    def server_answered(self, server: int) -> None:
        """It answers: a fault now and then is none, and one that got well is used by all at once."""
        self.faults.pop(server, None)
        if server in self.ejections:
            self.restore(server)
            self.report(server, Health.HEALTHY)

    def server_failed(self, server: int) -> None:
        """It failed this limiter: report it, where that is news and this one is to be believed."""
        now, ejection = self.carrier.now, self.ejections.get(server)
        self.faults[server] = now
        if now < self.quiet_until or self.too_many(self.faults):
            return
        if ejection and ejection.probed:
            ejection.probed = False
            self.report(server, Health.STILL_FAILING)
            self.add_witness(server, self.me, still=True)
            return
        # What enough others reported is nothing new to them, unless it was ejected and has come back.
        if (
            ejection is None
            or ejection.over(now)
            or (self.me not in ejection.witnesses and ejection.fresh_witnesses(now) < WITNESSES_ENOUGH)
        ):
            self.report(server, Health.FAILING)
        self.add_witness(server, self.me)

    def slow_is_usual(self, server: int) -> bool:
        """Whether attempts at the other servers, too, were given up for their slowness in the last while."""
        while self.ends and self.ends[0].at < self.carrier.now - SLOW_OVER:
            self.ends.popleft()
        elsewhere = [end.slow for end in self.ends if end.server != server]
        return sum(elsewhere) > SLOW_USUAL * len(elsewhere)

    # what comes from the others

    def received(self, peer: Hashable, reports: list[Report]) -> None:
        """Reports of one other limiter, just sent."""
        self.look_for_a_stop()
        for server, health in reports:
            if health == Health.HEALTHY:
                self.restore(server)
                self.reported.get(peer, {}).pop(server, None)
                continue
            reported = self.reported.setdefault(peer, {})
            reported[server] = self.carrier.now
            if self.too_many(reported):
                self.disbelieve(peer)
            else:
                self.add_witness(server, peer, still=health == Health.STILL_FAILING)

    def counted(self, server: int, witnesses: int) -> None:
        """So many witnesses reported it, without names (the counter's count), this one among them."""
        for number in range(witnesses - 1):
            self.add_witness(server, ("counted", number))

    def woke(self) -> None:
        """This limiter was stopped: what its attempts came to meanwhile says nothing of the servers.

        What was ejected when it stopped stays so until it has heard the others: its ejections are as old as
        its sleep.
        """
        now = self.carrier.now
        self.quiet_until = now + GRACE
        for ejection in self.ejections.values():
            if ejection.until > self.beat_at:
                ejection.until = max(ejection.until, now + KEPT_ON_WAKING)
        self.turns.woke(self.carrier.now)
        self.faults.clear()

    # inside

    def beat(self) -> None:
        """Look at the clock, again and again."""
        self.look_for_a_stop()
        self.beat_at = self.carrier.now
        self.carrier.later(BEAT, self.beat)

    def look_for_a_stop(self) -> None:
        """Whichever event comes first after a stop finds it out."""
        if self.carrier.now - self.beat_at > STOPPED:
            self.woke()
            self.beat_at = self.carrier.now

    def too_many(self, reported: dict[int, float]) -> bool:
        """Whether one finds fault with more servers than it can be believed; old reports are dropped."""
        now = self.carrier.now
        for server in [one for one, at in reported.items() if now - at >= REPORT_TTL]:
            del reported[server]
        return len(reported) > max(DOUBTED_LEAST, DOUBTED * self.servers)

    def disbelieve(self, peer: Hashable) -> None:
        """Take back what a limiter reported."""
        self.disbelieved += 1
        for ejection in self.ejections.values():
            ejection.witnesses.pop(peer, None)
            if ejection.until and not ejection.witnesses:
                ejection.until = 0.0
        self.limit_ejections()

    def add_witness(self, server: int, witness: Hashable, still: bool = False) -> None:
        """Book a report. `still`: its witness probed the server by turn, while all had ejected it.

        Only the report says so: when each limiter ejected it differs by as long as a machine is busy.
        """
        now = self.carrier.now
        ejection = self.ejections.setdefault(server, Ejection())
        if ejection.over(now):
            ejection = self.ejections[server] = Ejection()
        ejection.witnesses[witness] = now
        longer = still and now - ejection.extended_at >= PROBE_FOR  # probes that were out together count once
        if longer:  # also where this one heard nothing of the beginning: for the others it lasts as long
            ejection.lasts, ejection.extended_at = min(EJECTED_MOST, 2 * ejection.lasts), now
        if longer and ejection.until:
            ejection.eject(now)
        elif not ejection.until and ejection.fresh_witnesses(now) >= self.witnesses_needed():
            ejection.since = now
            ejection.eject(now)
        self.limit_ejections()

    def witnesses_needed(self) -> int:
        """How many limiters have to report a server until it is ejected."""
        return min(WITNESSES, len(self.turns.present))

    def restore(self, server: int) -> None:
        """Use a server again."""
        if self.ejections.pop(server, None):
            self.limit_ejections()

    def limit_ejections(self) -> None:
        """Forget what is over; of the others EJECTED_SHARE at most, those with the most witnesses first."""
        now = self.carrier.now
        for server, ejection in list(self.ejections.items()):
            if now >= ejection.until and not ejection.fresh_witnesses(now):
                del self.ejections[server]
        ejected = [
            (-len(ejection.witnesses), ejection.since, server)
            for server, ejection in self.ejections.items()
            if now < ejection.until
        ]
        most = int(EJECTED_SHARE * self.servers)
        kept = {server for _, _, server in sorted(ejected)[:most]}
        for server, ejection in self.ejections.items():
            ejection.allowed = server in kept

    def report(self, server: int, health: Health) -> None:
        """Tell the others, together with what else there is to tell just now."""
        if not self.waiting:
            self.carrier.later(BATCH, self.send_reports)
        self.waiting[server] = health

    def send_reports(self) -> None:
        """Send what waits."""
        reports = [Report(server, health) for server, health in self.waiting.items()]
        self.waiting = {}
        self.sent += len(reports)
        self.carrier.send(reports)
