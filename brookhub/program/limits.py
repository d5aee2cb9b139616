"""Limits on file descriptors and memory, and timeouts, for each component of a gateway.

Times in seconds, sizes in bytes.
"""

from __future__ import annotations

from ..routing.clients import ClientLimits
from ..routing.connections import ReconnectSettings
from ..routing.upstreams import UpstreamSettings
from ..site import GatewaySettings
from .start_file import StartFile

# File descriptors
RESERVED_DESCRIPTORS = 24  # Used by the log, the listener, discovery and closing connections.
COUNTER_CONNECTIONS = 2  # One stays available while the other reconnects.
UPSTREAM_DESCRIPTOR_SHARE = 0.25  # Share of all descriptors: each server needs few, clients are many.
MIN_CONNECTIONS = 8  # Minimum for clients and for servers, even if there are fewer descriptors.

# Memory
PROCESS_BYTES = 20 * 1024 * 1024  # The process without connections and data.
MIN_DATA_SHARE = 0.25  # Minimum share of the configured memory that is assumed to be left for the rest.
ACCOUNT_BYTES = 2560  # The record of a customer, with its timers.
CONNECTION_BYTES = 20 * 1024  # The thread and the objects of a connection, without data.

# Shares of the memory that the process itself leaves. Their sum is 1, with the responses above theirs.
CONNECTION_SHARE = 0.35  # Limit of the connections to clients and servers, without data.
CLIENT_UNREAD_SHARE = 0.005  # Limit of the unread responses to one client.
# Limit of the unread responses to all clients plus the bodies of their requests. Values that are being
# received from servers have a separate limit of the same size.
UNREAD_SHARE = 0.2
ACCOUNT_SHARE = 0.05  # Limit of the records of customers.
INPUT_SHARE = 0.1  # Limit of the commands that are partly received from clients.
VALUE_SHARE = 1 / 64  # Limit of one value received from a server, as a share of the configured memory.

# Clients
CLIENT_WRITE_TIMEOUT = 20.0  # A client that leaves its responses unread for longer is disconnected.
SLOW_READER_TIMEOUT = 1.0  # The same for one with more than CLIENT_UNREAD_SHARE of the memory unread.
FIRST_REQUEST_TIMEOUT = 2.0  # A connection without a complete command is closed after this time.
CLIENT_IDLE_TIMEOUT = 4.0  # A connection without an open request is closed after this time.
LINGER_TIME = 1.0  # Time for a client to read the end of its connection.

# Servers
UPSTREAM_IDLE_SHARE = 0.5  # Share of the time after which servers close idle connections.
SETTLE_TIME = 0.01  # Time after a response for which a connection is not reused, unless responses come later.
MAX_SETTLE_TIME = 0.05  # Maximum of that time.

# Counter and discovery
COUNTER_READ_TIMEOUT = 1.0  # Maximum time without a reply while calls are pending.
DISCOVERY_CONNECT_TIMEOUT = 1.0
DISCOVERY_READ_TIMEOUT = 4.5  # Maximum time without a line; discovery sends two lines every 4 s.
# Maximum time from the last line of discovery to the next connection attempt. The gateway must know a
# change within 6 s from when discovery has it and is reachable, however earlier attempts ended. The rest of
# the 6 s is left for the response.
DISCOVERY_MAX_SILENCE = 5.25
INITIAL_BACKOFF = 0.05
MAX_BACKOFF = 1.0
COUNTER_RECONNECT_SETTINGS = ReconnectSettings(0.5, INITIAL_BACKOFF, MAX_BACKOFF)

# If gateways poll the server list, discovery serves them one after another.
POLL_BACKOFF_PER_GATEWAY = 0.1
POLL_INITIAL_BACKOFF_SHARE = 0.5  # Upper limit of the initial backoff, as a share of a list's maximum age.
POLL_MAX_BACKOFF_SHARE = 2.0  # Maximum backoff, as a share of a list's maximum age.


def discovery_reconnect_settings(settings: GatewaySettings) -> ReconnectSettings:
    """Return the timeouts and backoff for reconnecting to discovery.

    If the server list is polled, a fleet whose gateways poll at the same time gets late responses or none.
    The backoff therefore grows with the number of gateways.
    """
    initial_backoff = INITIAL_BACKOFF
    max_backoff = MAX_BACKOFF
    if settings.polls_server_list:
        fleet_backoff = POLL_BACKOFF_PER_GATEWAY * settings.gateways
        initial_backoff_limit = POLL_INITIAL_BACKOFF_SHARE * settings.server_list_max_age
        initial_backoff = max(INITIAL_BACKOFF, min(fleet_backoff, initial_backoff_limit))
        max_backoff_limit = POLL_MAX_BACKOFF_SHARE * settings.server_list_max_age
        max_backoff = max(initial_backoff, MAX_BACKOFF, max_backoff_limit)
    return ReconnectSettings(
        DISCOVERY_CONNECT_TIMEOUT, initial_backoff, max_backoff, max_silence=DISCOVERY_MAX_SILENCE
    )


def data_bytes(start: StartFile) -> float:
    """Return the memory that the process itself leaves for connections and data."""
    return max(start.memory_bytes - PROCESS_BYTES, start.memory_bytes * MIN_DATA_SHARE)


def max_connections(start: StartFile) -> int:
    """Return the maximum number of all connections, by file descriptors and by memory."""
    return min(start.max_descriptors, int(data_bytes(start) * CONNECTION_SHARE / CONNECTION_BYTES))


def max_accounts(start: StartFile) -> int:
    """Return the maximum number of customers' records."""
    return int(data_bytes(start) * ACCOUNT_SHARE / ACCOUNT_BYTES)


def max_upstream_connections(start: StartFile) -> int:
    """Return the maximum number of connections from a gateway to servers."""
    return max(MIN_CONNECTIONS, int(max_connections(start) * UPSTREAM_DESCRIPTOR_SHARE))


def upstream_settings(start: StartFile) -> UpstreamSettings:
    """Return the limits of connections to servers."""
    return UpstreamSettings(
        connect_timeout=start.connect_timeout,
        idle_timeout=start.server_idle_timeout * UPSTREAM_IDLE_SHARE,
        settle_time=SETTLE_TIME,
        max_settle_time=MAX_SETTLE_TIME,
        max_connections=max_upstream_connections(start),
        max_value_bytes=int(start.memory_bytes * VALUE_SHARE),
        max_partial_bytes=int(data_bytes(start) * UNREAD_SHARE),
    )


def client_limits(start: StartFile) -> ClientLimits:
    """Return the limits for clients, which get the connections that the other components leave."""
    reserved = max_upstream_connections(start) + COUNTER_CONNECTIONS + RESERVED_DESCRIPTORS
    return ClientLimits(
        max_connections=max(MIN_CONNECTIONS, max_connections(start) - reserved),
        spare_connections=RESERVED_DESCRIPTORS // 2,
        max_open_requests=start.max_open_requests,
        max_unread_bytes_per_client=int(data_bytes(start) * CLIENT_UNREAD_SHARE),
        max_unread_bytes=int(data_bytes(start) * UNREAD_SHARE),
        max_input_bytes=int(data_bytes(start) * INPUT_SHARE),
        write_timeout=CLIENT_WRITE_TIMEOUT,
        slow_reader_timeout=SLOW_READER_TIMEOUT,
        linger_time=LINGER_TIME,
        first_request_timeout=FIRST_REQUEST_TIMEOUT,
        idle_timeout=CLIENT_IDLE_TIMEOUT,
    )
