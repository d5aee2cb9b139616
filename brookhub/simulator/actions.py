"""The actions that hosted gateways send to the simulator: their codes and record layouts.

Each record begins with its code and the number of the gateway. The policy does not use all actions of the
protocol: probes, peer messages, idle connections, trace lines and fetches of the server list are included so
that the table covers the whole protocol.
"""

from __future__ import annotations

from struct import Struct

# The first byte of a sent record. Plain integers, because reading an enum member takes three times as long.
START_ATTEMPT = 16
REJECT_REQUEST = 17
FAIL_REQUEST = 18
CANCEL_ATTEMPT = 19
SET_TIMER = 20
PROBE_SERVER = 21
CLOSE_IDLE_CONNECTIONS = 22
SEND_TO_PEER = 23
TRACE = 24
REPORT_FAULT = 25
WATCH_SERVER_LIST = 26
FETCH_SERVER_LIST = 27
ADD_TO_COUNTER = 28

ACTIONS: dict[int, Struct] = {
    START_ATTEMPT: Struct("<BIQId"),
    REJECT_REQUEST: Struct("<BIQd"),
    FAIL_REQUEST: Struct("<BIQ"),
    CANCEL_ATTEMPT: Struct("<BIQH"),
    SET_TIMER: Struct("<BIdQ"),
    PROBE_SERVER: Struct("<BII"),
    CLOSE_IDLE_CONNECTIONS: Struct("<BII"),
    SEND_TO_PEER: Struct("<BIHII"),
    TRACE: Struct("<BIII"),
    REPORT_FAULT: Struct("<BIII"),
    WATCH_SERVER_LIST: Struct("<BIB"),
    FETCH_SERVER_LIST: Struct("<BI"),
    ADD_TO_COUNTER: Struct("<BIQfd"),
}
