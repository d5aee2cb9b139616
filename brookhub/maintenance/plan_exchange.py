"""The transfer of the plan to every limiter: each announces its plan and fetches newer ones in chunks."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from xxhash import xxh3_64_intdigest

from .errors import PlanRejectedError
from .messages import CHUNK_BYTES, MAX_CHUNKS, ChunkRequest, ExchangeMessage, PlanAnnouncement, PlanChunk
from .plan import AdoptedPlan, Plan
from .ports import PeerPort

ROUND_ROBIN_POSITIONS = 2**20  # Number of possible start positions of a limiter's round robin over its peers.


class PlanExchange:
    """One limiter's part of the plan transfer. Times in seconds."""

    def __init__(
        self, port: PeerPort, name: str, announce_interval_s: float, submit_plan: Callable[[Plan], None]
    ) -> None:
        """Create the exchange of the limiter `name`.

        `submit_plan` is called with each plan that was fetched; it may raise PlanRejectedError.
        `announce_interval_s` is the time between two announcements, each to a different peer; 0 turns
        announcements off.
        """
        self.port = port
        self.name = name
        self.announce_interval_s = announce_interval_s
        self.submit_plan = submit_plan
        self.adopted: AdoptedPlan | None = None
        self.rejected_versions: dict[str, int] = {}  # By digest: the version of a conflicting plan.
        self.fetched_digest = ""  # The digest of the plan that is being fetched.
        self.chunks: dict[int, bytes] = {}  # By index: the chunks of that plan received so far.
        self.requested_at = port.now()
        self.announce_at = self.requested_at
        # The start position differs by limiter; otherwise all would announce to the same peer at once.
        self.position = xxh3_64_intdigest(name) % ROUND_ROBIN_POSITIONS

    def adopt(self, adopted: AdoptedPlan) -> None:
        """Hold this plan from now on, and announce it to its voters at once, as they have to act on it."""
        self.adopted = adopted
        self._stop_fetching()
        if not self.announce_interval_s:
            return
        for voter in adopted.plan.voters:
            if voter != self.name:
                self.port.send(voter, self._announcement(adopted))

    def log_conflict(self, version: int, digest: str) -> None:
        """Log that a different plan of the held version exists, once for each digest."""
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
        """Announce the held plan to the next peer if an announcement is due."""
        if self.adopted is None or not self.announce_interval_s or now < self.announce_at:
            return
        self.announce_at = now + self.announce_interval_s
        peers = sorted(self.port.present_peers())
        if peers:
            self.position += 1
            self.port.send(peers[self.position % len(peers)], self._announcement(self.adopted))

    def on_message(self, peer: str, message: ExchangeMessage, now: float) -> None:
        """Handle a message from a peer."""
        if isinstance(message, PlanAnnouncement):
            self._on_announcement(peer, message, now)
        elif isinstance(message, ChunkRequest):
            self._on_chunk_request(peer, message)
        else:
            self._on_chunk(peer, message, now)

    def _held_digest(self) -> str:
        """Return the digest of the held plan, "" if there is none."""
        return self.adopted.digest if self.adopted else ""

    def _announcement(self, adopted: AdoptedPlan) -> PlanAnnouncement:
        """Return the announcement of a plan."""
        return PlanAnnouncement(adopted.plan.version, adopted.digest)

    def _on_announcement(self, peer: str, message: PlanAnnouncement, now: float) -> None:
        """Fetch a newer plan; reply to an older one with the announcement of the held plan."""
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
        """Request the next chunk of a plan, or its first if a different plan was being fetched."""
        if self.fetched_digest != digest:
            self.fetched_digest = digest
            self.chunks = {}
        self.requested_at = now
        self.port.send(peer, ChunkRequest(digest, len(self.chunks)))

    def _on_chunk(self, peer: str, message: PlanChunk, now: float) -> None:
        """Store the next chunk, and submit the plan once all chunks have arrived."""
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
        """Decode and submit a plan; ignore it if it is corrupt."""
        try:
            plan = msgspec.msgpack.decode(data, type=Plan)
        except msgspec.DecodeError:
            return
        if plan.digest() != digest:
            return
        try:
            self.submit_plan(plan)
        except PlanRejectedError:
            # A conflict is already logged (log_conflict). A plan that was superseded during its transfer is
            # not an error.
            return

    def _stop_fetching(self) -> None:
        """Discard the plan that was being fetched."""
        self.fetched_digest = ""
        self.chunks = {}

    def _on_chunk_request(self, peer: str, message: ChunkRequest) -> None:
        """Send the requested chunk if it belongs to the held plan."""
        if self.adopted is None or message.digest != self.adopted.digest:
            return
        data = msgspec.msgpack.encode(self.adopted.plan)
        count = max(1, -(-len(data) // CHUNK_BYTES))
        if message.index < count <= MAX_CHUNKS:
            chunk = data[message.index * CHUNK_BYTES :][:CHUNK_BYTES]
            self.port.send(peer, PlanChunk(self.adopted.digest, message.index, count, chunk))
