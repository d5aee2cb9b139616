"""Periodic check of the timeouts of running suspicions."""

from __future__ import annotations

from collections.abc import Callable

from .sender import MessageSender
from .settings import MemberContext
from .state import Member
from .suspicion import Suspicion

# Share of a suspicion's timeout after which the suspect itself is pinged: its refutation may have been lost.
PING_SUSPECT_AFTER = 0.5
# Sequence number of a ping whose ack is ignored: the ping only makes the suspect send a refutation.
UNTRACKED_PROBE = 0


class SuspicionTimeouts:
    """Calls `on_timeout` with each member whose suspicion was not refuted in time."""

    def __init__(
        self, context: MemberContext, sender: MessageSender, on_timeout: Callable[[Member], None]
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._members = context.members
        self._sender = sender
        self._on_timeout = on_timeout

    def check(self) -> None:
        """Report the suspicions that timed out.

        With Lifeguard, also ping the suspects after PING_SUSPECT_AFTER of their timeouts.
        """
        settings = self._settings
        now = self._clock.now
        for name, suspicion in list(self._members.suspicions.items()):
            present_count = len(self._members.present)
            timeout = suspicion.timeout(present_count, settings.probe_interval, settings.lifeguard)
            elapsed = now - suspicion.started_at
            if elapsed >= timeout:
                self._on_timeout(self._members.by_name[name])
            elif settings.lifeguard and elapsed > PING_SUSPECT_AFTER * timeout:
                self._ping_suspect(name, suspicion)

    def restart(self) -> None:
        """Restart all timeouts, as this process could not receive refutations while it was stopped."""
        for suspicion in self._members.suspicions.values():
            suspicion.started_at = self._clock.now

    def _ping_suspect(self, name: str, suspicion: Suspicion) -> None:
        """Ping a suspect, unless it was pinged within the last probe interval."""
        now = self._clock.now
        if now - suspicion.last_ping_at >= self._settings.probe_interval:
            suspicion.last_ping_at = now
            self._sender.send_ping(name, UNTRACKED_PROBE)
