"""Reason codes of closed connections: the field `reason` of the log events about them."""

from __future__ import annotations

from enum import StrEnum


class CloseReason(StrEnum):
    """The reason codes of closed connections as they appear in the log; docs/on-call.md explains each."""

    ADDRESS_CHANGED = "address-changed"
    """The peer has moved to another address; a connection to that address replaces this one."""

    CANCELLED = "cancelled"
    """The attempt on the connection was cancelled: its request ended or its time ran out."""

    CLIENT_CLOSED = "client-closed"
    """The client closed the connection."""

    CLOSED = "closed"
    """The peer closed the connection."""

    CONNECT_FAILED = "connect-failed"
    """The connection could not be established in time."""

    CONNECTION_LIMIT = "connection-limit"
    """The client was not accepted because all file descriptors for clients are in use."""

    DEADLINE_PASSED = "deadline-passed"
    """A deadline passed before the request could be answered: this process was suspended or starved."""

    DRAINING = "draining"
    """This gateway is shutting down gracefully."""

    EVICTED = "evicted"
    """An idle connection was closed to free its file descriptor for another connection."""

    IDLE_TIMEOUT = "idle-timeout"
    """The connection was idle for too long."""

    INTERNAL_ERROR = "internal-error"
    """An unexpected exception occurred, which is logged with its traceback."""

    MEMORY_LIMIT = "memory-limit"
    """The memory for commands that are not yet complete was used up; this one was the oldest of them."""

    NO_REQUEST = "no-request"
    """The client did not send a complete request in time after connecting."""

    NO_THREAD = "no-thread"
    """The system could not start another thread."""

    OVERSIZED = "oversized"
    """The peer sent more than the limits of the protocol or of memory allow."""

    PROTOCOL_ERROR = "protocol-error"
    """The peer sent data that violates its protocol."""

    READ_TIMEOUT = "read-timeout"
    """Nothing was received for too long."""

    RESET = "reset"
    """The connection was reset or failed in another way."""

    SERVER_DRAINING = "server-draining"
    """The server list reports the server as draining, as gone or at another address."""

    SLOW_READER = "slow-reader"
    """The peer did not read the bytes sent to it in time."""

    THROTTLED = "throttled"
    """Discovery rejected the request with 429 or 503."""
