"""Why a connection was closed: the `reason` of the log event about it."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """The reason codes of closed connections, as they stand in the log (docs/on-call.md explains each)."""

    ADDRESS_CHANGED = "address-changed"
    """The peer is to be found at another address, which has taken its place."""

    CANCELLED = "cancelled"
    """The attempt on the connection was given up: its request ended or its time was over."""

    CLIENT_CLOSED = "client-closed"
    """The client closed the connection."""

    CLOSED = "closed"
    """The peer closed the connection."""

    CONNECT_FAILED = "connect-failed"
    """The connection could not be established in time."""

    CONNECTION_LIMIT = "connection-limit"
    """The client was not accepted: all descriptors for clients are in use."""

    DEADLINE_PASSED = "deadline-passed"
    """A request's deadline had passed before it could be answered: this process was suspended or starved."""

    DRAINING = "draining"
    """This gateway shuts down gracefully."""

    EVICTED = "evicted"
    """An idle connection was closed to free its descriptor for another."""

    IDLE_TIMEOUT = "idle-timeout"
    """The connection was not used for too long."""

    INTERNAL_ERROR = "internal-error"
    """An unexpected exception, which is in the log with its traceback."""

    NO_REQUEST = "no-request"
    """The client did not send a complete request in time after it had connected."""

    NO_THREAD = "no-thread"
    """The system could not start another thread."""

    OVERSIZED = "oversized"
    """The peer sent more than the limits of the protocol, or of memory, allow."""

    PROTOCOL_ERROR = "protocol-error"
    """The peer sent what its protocol does not allow."""

    READ_TIMEOUT = "read-timeout"
    """Nothing was received for too long."""

    RESET = "reset"
    """The connection broke."""

    SERVER_DRAINING = "server-draining"
    """The server list has the server as draining or gone, or at another address."""

    SLOW_READER = "slow-reader"
    """The peer did not read what was sent to it."""

    THROTTLED = "throttled"
    """Discovery rejected the request with 429 or 503."""
