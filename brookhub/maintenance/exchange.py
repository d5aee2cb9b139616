"""How a plan of work comes to all limiters: each offers what it holds, who lacks it asks for its pieces."""

from __future__ import annotations

from typing import Any, Callable, Protocol

import msgspec
from xxhash import xxh3_64_intdigest

from .messages import MOST_PIECES, PIECE, Offer, Piece, Want
from .plan import Plan

TURNS = 2**20  # places in the round of peers at which a limiter may begin


class ExchangePort(Protocol):
    """How the exchange acts (core.MaintenancePort)."""

    def now(self) -> float:
        """Seconds on this limiter's clock."""

    def present(self) -> list[str]:
        """The limiters that are there, without this one."""

    def send(self, peer: str, message: Any) -> None:
        """Send a message to a peer; it may be lost."""

    def log(self, event: str, **facts: Any) -> None:
        """A line for the people on call."""


class PlanExchange:
    """One limiter's part. `take` is given each plan that came whole; times in s."""

    def __init__(self, port: ExchangePort, me: str, every: float, take: Callable[[Plan], str]) -> None:
        """`every`: between two offers, each to another peer; 0: none."""
        self.port, self.me, self.every, self.take = port, me, every, take
        self.plan: Plan | None = None
        self.digest = ""
        self.refused: dict[str, int] = {}  # digests of plans that conflict -> version
        self.wanted = ""  # the digest of the plan that is asked for
        self.pieces: dict[int, bytes] = {}  # what came of it
        self.asking_at = self.offer_at = port.now()
        # Each goes round the others from a place of its own: all in step would tell the same ones.
        self.turn = xxh3_64_intdigest(me) % TURNS

    def hold(self, plan: Plan, digest: str) -> None:
        """This plan is held from now on; its voters have to know first."""
        self.plan, self.digest = plan, digest
        self.wanted, self.pieces = "", {}
        if self.every:
            for name in plan.voters:
                if name != self.me:
                    self.port.send(name, Offer(plan.version, digest))

    def refuse(self, version: int, digest: str) -> None:
        """Another plan of the version that is held: tell it once."""
        if digest in self.refused:
            return
        self.refused[digest] = version
        why = "another plan of this version is held"
        self.port.log("plan refused", version=version, digest=digest, held=self.digest, why=why)

    def tick(self, now: float) -> None:
        """Offer what is held to the next peer, where it is time."""
        if not self.plan or not self.every or now < self.offer_at:
            return
        self.offer_at = now + self.every
        peers = sorted(self.port.present())
        if peers:
            self.turn += 1
            self.port.send(peers[self.turn % len(peers)], Offer(self.plan.version, self.digest))

    def received(self, peer: str, message: Offer | Want | Piece, now: float) -> None:
        """A peer offers a plan, wants one, or sends a piece of one."""
        if isinstance(message, Offer):
            self.offered(peer, message, now)
        elif isinstance(message, Want):
            self.wants(peer, message)
        else:
            self.piece(peer, message, now)

    def offered(self, peer: str, message: Offer, now: float) -> None:
        """Ask for a newer plan; answer with what is held where it is newer."""
        held = self.plan.version if self.plan else 0
        if message.version > held:
            if self.wanted != message.digest or now >= self.asking_at + self.every:
                self.ask(peer, message.digest, now)
        elif message.version < held:
            self.port.send(peer, Offer(held, self.digest))
        elif message.digest != self.digest:
            self.refuse(message.version, message.digest)

    def ask(self, peer: str, digest: str, now: float) -> None:
        """Ask for the next piece of a plan."""
        if self.wanted != digest:
            self.wanted, self.pieces = digest, {}
        self.asking_at = now
        self.port.send(peer, Want(digest, len(self.pieces)))

    def piece(self, peer: str, message: Piece, now: float) -> None:
        """Take the next piece; the plan, once it is whole and is what its digest says."""
        if message.digest != self.wanted or message.piece != len(self.pieces):
            return
        self.pieces[message.piece] = message.data
        self.asking_at = now
        if len(self.pieces) < message.pieces:
            return self.port.send(peer, Want(message.digest, len(self.pieces)))
        data, self.pieces, self.wanted = b"".join(self.pieces.values()), {}, ""
        try:
            plan = msgspec.msgpack.decode(data, type=Plan)
        except msgspec.DecodeError:
            return
        if plan.digest() == message.digest:
            self.take(plan)

    def wants(self, peer: str, message: Want) -> None:
        """Send a piece of what is held."""
        if self.plan and message.digest == self.digest:
            data = msgspec.msgpack.encode(self.plan)
            pieces = max(1, -(-len(data) // PIECE))
            if message.piece < pieces <= MOST_PIECES:
                part = data[message.piece * PIECE :][:PIECE]
                self.port.send(peer, Piece(self.digest, message.piece, pieces, part))
