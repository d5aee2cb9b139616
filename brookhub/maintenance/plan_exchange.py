"""Copies the plan to every limiter: each announces what it holds, and fetches newer plans chunk by chunk."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from xxhash import xxh3_64_intdigest

from .errors import PlanRejectedError
from .messages import CHUNK_BYTES, MAX_CHUNKS, ChunkRequest, ExchangeMessage, PlanAnnouncement, PlanChunk
from .plan import AdoptedPlan, Plan
from .ports import PeerPort

ROUND_ROBIN_POSITIONS = 2**20  # among which each limiter's first position is spread


class PlanExchange:
    """One limiter's side of the plan transfer. Times in seconds."""

    def __init__(
        self, port: PeerPort, name: str, announce_interval_s: float, submit_plan: Callable[[Plan], None]
    ) -> None:
        """`submit_plan` gets each plan that arrived; it may raise PlanRejectedError.

        `announce_interval_s`: between two announcements, each to another peer; 0: none.
        """
        self.port = port
        self.name = name
        self.announce_interval_s = announce_interval_s
        self.submit_plan = submit_plan
        self.adopted: AdoptedPlan | None = None
        self.rejected_versions: dict[str, int] = {}  # by the digest of a conflicting plan
        self.fetched_digest = ""  # of the plan that is being fetched
        self.chunks: dict[int, bytes] = {}  # of it, so far
        self.requested_at = port.now()
        self.announce_at = self.requested_at
        # Each limiter starts its round of peers elsewhere: in step, all would announce to the same peer.
        self.position = xxh3_64_intdigest(name) % ROUND_ROBIN_POSITIONS

    def adopt(self, adopted: AdoptedPlan) -> None:
        """Hold this plan from now on, and announce it to its voters first: they have to act on it."""
        self.adopted = adopted
        self._stop_fetching()
        if not self.announce_interval_s:
            return
        for voter in adopted.plan.voters:
            if voter != self.name:
                self.port.send(voter, self._announcement(adopted))

    def log_conflict(self, version: int, digest: str) -> None:
        """Log that another plan of the held version exists, once for each digest."""
        if digest in self.rejected_versions:
            return
        self.rejected_versions[digest] = version
        self.port.log(
            "plan rejected",
            version=version,
            digest=digest,
            current_digest=self._held_digest(),
            reason="another plan of this version is held",
        )

    def tick(self, now: float) -> None:
        """Announce the held plan to the next peer, when it is time."""
        if self.adopted is None or not self.announce_interval_s or now < self.announce_at:
            return
        self.announce_at = now + self.announce_interval_s
        peers = sorted(self.port.present_peers())
        if peers:
            self.position += 1
            self.port.send(peers[self.position % len(peers)], self._announcement(self.adopted))

    def received(self, peer: str, message: ExchangeMessage, now: float) -> None:
        """Handle a message of a peer."""
        if isinstance(message, PlanAnnouncement):
            self._on_announcement(peer, message, now)
        elif isinstance(message, ChunkRequest):
            self._on_chunk_request(peer, message)
        else:
            self._on_chunk(peer, message, now)

    def _held_digest(self) -> str:
        """The digest of the held plan, "" where none is held."""
        return self.adopted.digest if self.adopted else ""

    def _announcement(self, adopted: AdoptedPlan) -> PlanAnnouncement:
        """The announcement of the held plan."""
        return PlanAnnouncement(adopted.plan.version, adopted.digest)

    def _on_announcement(self, peer: str, message: PlanAnnouncement, now: float) -> None:
        """Fetch a newer plan; answer an older one with the held plan's announcement."""
        held_version = self.adopted.plan.version if self.adopted else 0
        if message.version > held_version:
            request_timed_out = now >= self.requested_at + self.announce_interval_s
            if self.fetched_digest != message.digest or request_timed_out:
                self._request_chunk(peer, message.digest, now)
        elif message.version < held_version:
            self.port.send(peer, PlanAnnouncement(held_version, self._held_digest()))
        elif message.digest != self._held_digest():
            self.log_conflict(message.version, message.digest)

    def _request_chunk(self, peer: str, digest: str, now: float) -> None:
        """Request the next chunk of a plan, the first one where another plan was being fetched."""
        if self.fetched_digest != digest:
            self.fetched_digest = digest
            self.chunks = {}
        self.requested_at = now
        self.port.send(peer, ChunkRequest(digest, len(self.chunks)))

    def _on_chunk(self, peer: str, message: PlanChunk, now: float) -> None:
        """Keep the next chunk; submit the plan once all chunks are there."""
        if message.digest != self.fetched_digest or message.index != len(self.chunks):
            return
        self.chunks[message.index] = message.data
        if len(self.chunks) < message.count:
            self._request_chunk(peer, message.digest, now)
            return
        self.requested_at = now
        data = b"".join(self.chunks.values())
        self._stop_fetching()
        self._submit(data, message.digest)

    def _submit(self, data: bytes, digest: str) -> None:
        """Submit a plan from its encoding, unless it is damaged."""
        try:
            plan = msgspec.msgpack.decode(data, type=Plan)
        except msgspec.DecodeError:
            return
        if plan.digest() != digest:
            return
        try:
            self.submit_plan(plan)
        except PlanRejectedError:
            # A conflict is in the log already (log_conflict); a plan that became stale on its way is no fault
            return

    def _stop_fetching(self) -> None:
        """Forget the plan that was being fetched."""
        self.fetched_digest = ""
        self.chunks = {}

    def _on_chunk_request(self, peer: str, message: ChunkRequest) -> None:
        """Send a chunk of the held plan, if it is the one that is asked for."""
        if self.adopted is None or message.digest != self.adopted.digest:
            return
        data = msgspec.msgpack.encode(self.adopted.plan)
        count = max(1, -(-len(data) // CHUNK_BYTES))
        if message.index < count <= MAX_CHUNKS:
            chunk = data[message.index * CHUNK_BYTES :][:CHUNK_BYTES]
            self.port.send(peer, PlanChunk(self.adopted.digest, message.index, count, chunk))
