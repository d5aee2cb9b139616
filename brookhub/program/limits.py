"""How much of the machine each part of a gateway may use, and how long it waits for its peers.

Times in seconds, sizes in bytes.
"""

from __future__ import annotations

from ..routing.clients import ClientLimits
from ..routing.connections import ReconnectSettings
from ..routing.upstreams import UpstreamSettings
from ..site import GatewaySettings
from .start_file import StartFile

# Descriptors
RESERVED_DESCRIPTORS = 24  # for the log, the listener, discovery and connections that are being closed
COUNTER_CONNECTIONS = 2  # so that there is one while the other is dialled anew
UPSTREAM_DESCRIPTOR_SHARE = 0.25  # of all: servers need few connections each, clients are many
MIN_CONNECTIONS = 8  # of either kind, however few descriptors there are

# Shares of the memory
CLIENT_UNREAD_SHARE = 0.005  # for the answers that one client has not read
UNREAD_SHARE = 0.2  # for those of all clients and the bodies of their requests; the same for servers' values
VALUE_SHARE = 1 / 64  # for one value of a server

# Clients
CLIENT_WRITE_TIMEOUT = 20.0  # that a client may leave its answers unread
FIRST_REQUEST_TIMEOUT = 2.0  # until a connection is closed on which no complete command came
CLIENT_IDLE_TIMEOUT = 4.0  # until one is closed that has no open command
LINGER_TIME = 1.0  # for a client to read that its connection ends

# Servers
UPSTREAM_IDLE_SHARE = 0.5  # of the time after which servers close idle connections
SETTLE_TIME = 0.01  # after an answer: second answers were seen up to 3.9 ms late

# Counter and discovery
COUNTER_READ_TIMEOUT = 1.0  # without an answer while calls are pending
DISCOVERY_CONNECT_TIMEOUT = 1.0
DISCOVERY_READ_TIMEOUT = 4.5  # without a line: two are due every 4 s
# From the last line of discovery to the next dial: a change has to be known 6 s after discovery had it and
# could be reached, whatever became of the dials before, and the answer needs a moment
DISCOVERY_MAX_SILENCE = 5.25
INITIAL_BACKOFF = 0.05
MAX_BACKOFF = 1.0
COUNTER_RECONNECT_SETTINGS = ReconnectSettings(0.5, INITIAL_BACKOFF, MAX_BACKOFF)

# Where lists are polled, discovery answers all gateways one after another
POLL_BACKOFF_PER_GATEWAY = 0.1
POLL_INITIAL_BACKOFF_SHARE = 0.5  # of the maximum age of a list: the highest initial backoff
POLL_MAX_BACKOFF_SHARE = 2.0  # of the same: the maximum backoff


def discovery_reconnect_settings(settings: GatewaySettings) -> ReconnectSettings:
    """How the connection to discovery is re-established.

    Where lists are polled, a fleet that polls at the same moment is answered late or not at all: the backoff
    grows with the number of gateways.
    """
    initial_backoff = INITIAL_BACKOFF
    max_backoff = MAX_BACKOFF
    if settings.polls_server_list:
        share_of_fleet = POLL_BACKOFF_PER_GATEWAY * settings.gateways
        highest = POLL_INITIAL_BACKOFF_SHARE * settings.server_list_max_age
        initial_backoff = max(INITIAL_BACKOFF, min(share_of_fleet, highest))
        longest = POLL_MAX_BACKOFF_SHARE * settings.server_list_max_age
        max_backoff = max(initial_backoff, MAX_BACKOFF, longest)
    return ReconnectSettings(
        DISCOVERY_CONNECT_TIMEOUT, initial_backoff, max_backoff, max_silence=DISCOVERY_MAX_SILENCE
    )


def max_upstream_connections(start: StartFile) -> int:
    """How many connections to servers a gateway may have."""
    return max(MIN_CONNECTIONS, int(start.max_descriptors * UPSTREAM_DESCRIPTOR_SHARE))


def upstream_settings(start: StartFile) -> UpstreamSettings:
    """The limits of the connections to servers."""
    return UpstreamSettings(
        connect_timeout=start.connect_timeout,
        idle_timeout=start.server_idle_timeout * UPSTREAM_IDLE_SHARE,
        settle_time=SETTLE_TIME,
        max_connections=max_upstream_connections(start),
        max_value_bytes=int(start.memory_bytes * VALUE_SHARE),
        max_partial_bytes=int(start.memory_bytes * UNREAD_SHARE),
    )


def client_limits(start: StartFile) -> ClientLimits:
    """What clients may use: the descriptors that the other parts leave."""
    others = max_upstream_connections(start) + COUNTER_CONNECTIONS + RESERVED_DESCRIPTORS
    return ClientLimits(
        max_connections=max(MIN_CONNECTIONS, start.max_descriptors - others),
        spare_connections=RESERVED_DESCRIPTORS // 2,
        max_open_requests=start.max_open_requests,
        max_unread_bytes_per_client=int(start.memory_bytes * CLIENT_UNREAD_SHARE),
        max_unread_bytes=int(start.memory_bytes * UNREAD_SHARE),
        write_timeout=CLIENT_WRITE_TIMEOUT,
        linger_time=LINGER_TIME,
        first_request_timeout=FIRST_REQUEST_TIMEOUT,
        idle_timeout=CLIENT_IDLE_TIMEOUT,
    )
