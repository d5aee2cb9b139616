"""Probing of all members in rounds of random order, one member per probe interval (SWIM section 3.1)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from .awareness import LocalHealth, StallDetector
from .member_list import MemberList
from .messages import Message, MessageKind
from .sender import MessageSender
from .settings import MemberContext
from .state import Member

# Probe intervals after which an unanswered ping is repeated, both directly and by helpers.
ACK_TIMEOUT_INTERVALS = 0.4
# Helpers that are asked to ping a member that did not answer. With 10% packet loss, one in 25 such rounds
# fails.
INDIRECT_CHECKS = 3


class ProbeOrder:
    """Order in which members are probed: shuffled for each round, with each member once in a round."""

    def __init__(self, members: MemberList, random: Random) -> None:
        self._members = members
        self._random = random
        self._targets: list[Member] = []
        self._next_index = 0

    def next_target(self) -> Member | None:
        """Return the next present member, or None if no member is present."""
        for _ in range(len(self._targets) + 1):
            if self._next_index >= len(self._targets):
                self._start_round()
            if self._next_index < len(self._targets):
                target = self._targets[self._next_index]
                self._next_index += 1
                if target.name in self._members.present:
                    return target
        return None

    def insert(self, member: Member) -> None:
        """Add a member that became present, at a random position in the rest of the round."""
        index = len(self._targets)
        if self._next_index <= len(self._targets):
            index = self._random.randrange(self._next_index, len(self._targets) + 1)
        self._targets.insert(index, member)

    def remove_unlisted(self) -> None:
        """Remove the members that are no longer listed."""
        self._targets = [member for member in self._targets if member.name in self._members.by_name]

    def _start_round(self) -> None:
        """Shuffle the present members for a new round."""
        members = self._members
        self._targets = [members.by_name[name] for name in members.names if name in members.present]
        self._random.shuffle(self._targets)
        self._next_index = 0


class SequenceNumbers:
    """Generator of the sequence numbers of probes, unique at this member."""

    def __init__(self) -> None:
        self._last = 0

    def next(self) -> int:
        """Return the next number, starting from 1."""
        self._last += 1
        return self._last


@dataclass
class Probe:
    """A probe that waits for its ack.

    Attributes:
        target: the member that is probed.
        number: sequence number of the probe's pings.
        helpers: number of members that were asked to ping the target too.
        nacks: number of helpers that sent a nack.
    """

    target: Member
    number: int
    helpers: int = 0
    nacks: int = 0


class Prober:
    """Probes one member per probe interval; calls `on_failure` with a member that did not answer in time."""

    def __init__(
        self,
        context: MemberContext,
        sender: MessageSender,
        sequence_numbers: SequenceNumbers,
        health: LocalHealth,
        stall_detector: StallDetector,
        on_failure: Callable[[Member], None],
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._random = context.random
        self._local = context.local
        self._members = context.members
        self._sender = sender
        self._sequence_numbers = sequence_numbers
        self._health = health
        self._stall_detector = stall_detector
        self._on_failure = on_failure
        self._probe: Probe | None = None
        self.order = ProbeOrder(context.members, context.random)

    def start(self) -> None:
        """Start probing, at a random time within one probe interval."""
        now = self._clock.now
        first_at = now + self._settings.probe_interval * self._random.random()
        self._stall_detector.expect_timer_at(first_at)
        self._clock.call_later(first_at - now, self._probe_next)

    def cancel_probe(self) -> None:
        """Discard the running probe, so that it counts neither as a success nor as a failure."""
        self._probe = None

    def on_ack(self, peer: str, message: Message) -> None:
        """Handle the ack of this member's probe, from its target or forwarded by a helper."""
        probe = self._probe
        if probe is None or message.sequence_number != probe.number:
            return
        if probe.target.name in (peer, message.subject):
            self._probe = None
            self._health.improve()

    def on_nack(self, message: Message) -> None:
        """Count a helper's nack: the helper got no ack either, but this member is reachable."""
        if self._probe and message.sequence_number == self._probe.number:
            self._probe.nacks += 1

    def _probe_next(self) -> None:
        """Finish the last probe and start the next one, once per probe interval scaled by local health."""
        if self._local.stopped:
            return
        self._stall_detector.check()
        if self._probe:
            self._fail(self._probe)
        self._probe = None
        target = self.order.next_target()
        if target:
            self._start_probe(target)
        interval = self._health.scale(self._settings.probe_interval)
        self._stall_detector.expect_timer_at(self._clock.now + interval)
        self._clock.call_later(interval, self._probe_next)

    def _start_probe(self, target: Member) -> None:
        """Ping the target and schedule the timeout of its ack."""
        probe = Probe(target, self._sequence_numbers.next())
        self._probe = probe
        self._sender.send_ping(target.name, probe.number)
        ack_timeout = ACK_TIMEOUT_INTERVALS * self._health.scale(self._settings.probe_interval)
        self._clock.call_later(ack_timeout, lambda: self._on_ack_timeout(probe))

    def _on_ack_timeout(self, probe: Probe) -> None:
        """Repeat an unanswered ping, both directly (Lifeguard only) and by helpers."""
        if self._local.stopped or self._probe is not probe:
            return
        target = probe.target.name
        if self._settings.lifeguard:
            self._sender.send_ping(target, probe.number)
        helpers = self._members.sample(INDIRECT_CHECKS, self._members.present - {target})
        probe.helpers = len(helpers)
        for helper in helpers:
            self._sender.send_probe_message(helper, MessageKind.PING_REQ, probe.number, subject=target)

    def _fail(self, probe: Probe) -> None:
        """Report a probe as failed and lower the local health, after a whole interval without an ack.

        Each helper from which no nack arrived is a sign that the local member itself is at fault.
        """
        # Known fault: this is negative if the network duplicated nacks. The score then falls, even below 0.
        silent_helpers = probe.helpers - probe.nacks
        self._health.degrade(silent_helpers if probe.helpers else 1)
        self._on_failure(probe.target)
