"""List of one member's peers, with their states and random selection among them."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from .messages import MemberUpdate
from .state import ABSENT_STATES, ALIVE, PRESENT_STATES, UNKNOWN, LocalMember, Member
from .suspicion import Suspicion


class MemberList:
    """Listed peers, without the local member.

    Attributes:
        by_name: each listed peer, by its name.
        names: names of the listed peers in alphabetical order.
        present: names of the peers that are alive or suspect.
        suspicions: the running suspicion of each suspect, by the suspect's name.
    """

    def __init__(self, local: LocalMember, random: Random) -> None:
        self._local = local
        self._random = random
        self.by_name: dict[str, Member] = {}
        self.names: list[str] = []
        self.present: set[str] = set()
        self.suspicions: dict[str, Suspicion] = {}

    def replace(self, peers: Iterable[str]) -> None:
        """Set the listed peers: remove those that are no longer listed, and add new ones as unknown."""
        self.names = sorted(set(peers) - {self._local.name})
        listed = set(self.names)
        for name in [name for name in self.by_name if name not in listed]:
            self.suspicions.pop(name, None)
            self.present.discard(name)
            del self.by_name[name]
        for name in self.names:
            self.by_name.setdefault(name, Member(name))

    def assume_all_alive(self) -> None:
        """Set every listed peer alive without sending updates, as in an emulated fleet that already runs."""
        for member in self.by_name.values():
            member.state = ALIVE
            member.incarnation = 0
        self.present = set(self.names)

    def update_presence(self, member: Member) -> None:
        """Add a member to `present` or remove it, depending on its state."""
        if member.state in PRESENT_STATES:
            self.present.add(member.name)
        else:
            self.present.discard(member.name)

    def known_names(self) -> list[str]:
        """Return the names of members about which an update was received, in alphabetical order."""
        return [name for name in self.names if self.by_name[name].state != UNKNOWN]

    def absent_names(self) -> list[str]:
        """Return the names of dead and unknown members in alphabetical order, without members that left."""
        return [name for name in self.names if self.by_name[name].state in ABSENT_STATES]

    def sample(self, count: int, candidates: set[str]) -> list[str]:
        """Draw up to `count` of the listed `candidates` at random.

        If there are no more than `count`, all are returned in alphabetical order. The result does not depend
        on the order of the set, so that runs with one seed are reproducible.
        """
        if len(candidates) <= count:
            return sorted(candidates)
        if len(candidates) <= len(self.names) // 2:
            return self._random.sample(sorted(candidates), count)
        # Most names are candidates: rejection sampling avoids sorting the names of a large fleet.
        drawn: dict[str, None] = {}
        while len(drawn) < count:
            name = self.names[self._random.randrange(len(self.names))]
            if name in candidates:
                drawn[name] = None
        return list(drawn)

    def current_update(self, name: str) -> MemberUpdate:
        """Return the known state of the local member or a listed one, as an update to send."""
        if name == self._local.name:
            return MemberUpdate(name, self._local.state, self._local.incarnation, "")
        member = self.by_name[name]
        suspicion = self.suspicions.get(name)
        suspected_by = suspicion.first_accuser if suspicion else ""
        return MemberUpdate(name, member.state, max(0, member.incarnation), suspected_by)

    def knows_newer(self, update: MemberUpdate) -> bool:
        """Return whether the known state of a listed member supersedes an update."""
        member = self.by_name.get(update.name)
        if member is None or member.state == UNKNOWN:
            return False
        return member.supersedes(update.state, update.incarnation)
