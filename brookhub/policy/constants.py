"""Tuned values of the policy, each with its unit and the reason for its size."""

from ..model import Outcome
from ..structures import RateLimits

# Statistics

MEMORY_S = 10.0
"""Time constant in seconds by which rates, latencies and retry results decay: several counter windows, but
shorter than most faults."""

GOLDEN_RATIO = 0.6180339887
"""Distance on a circle of length 1 between consecutive customer ids or gateway indexes, which spreads any few
consecutive ones evenly around it."""

# The counter and the quota

COUNTER_BATCH_INTERVAL_S = 0.15
"""Average seconds that units wait to be added in the background: much shorter than any window."""

COUNT_LIFETIME_WINDOWS = 3.0
"""Windows for which a count is kept: the final total of a window is still read during the next one."""

TOTAL_FRESH_FOR_S = 0.5
"""Seconds for which a total is relied on: later, other gateways may have used the room that it showed."""

UNCONFIRMED_SHARE_FACTOR = 1.5
"""Multiple of its share that a gateway admits without the counter: most customers are far below their
quotas."""

INITIAL_COUNTER_CALLS_PER_S = 150.0
"""Initial counter calls per second of all gateways together."""

MIN_COUNTER_RATE_SHARE = 0.2
"""Minimum share of the wanted counter calls that a gateway may make."""

COUNTER_RATE_INCREASE = 1.5
"""Calls per second added for each quick answer: the total increase of all gateways follows the number of
answers, not the number of gateways."""

COUNTER_RATE_DECREASE = 0.8
"""Factor on the rate after a late answer, applied at most once per counter timeout."""

MIN_COUNTER_BURST_CALLS = 2.0
"""Minimum number of counter calls that may be made at once, for calls that coincide."""

LATE_ANSWER_SHARE = 0.4
"""Share of the counter's timeout after which an answer is late: a sign that the counter's queue grows."""

BACKGROUND_RESERVE = 0.5
"""Share of the counter rate that background additions and client retries leave to waiting requests."""

SOFT_PLAN_RESERVE = 0.25
"""Share of the counter rate that requests of soft plans leave to others while calls are scarce."""

TIMER_MARGIN_S = 0.001
"""Seconds added to the computed time of a timer, so that rounding errors do not make it fire too early."""

MAX_COUNT_LIFETIME_S = 60.0
"""Maximum lifetime of a count in seconds, for windows of any length."""

OVERFLOW_USED_SHARE = 0.5
"""Share of a full quota's overflow that other gateways are assumed to have used as it accrued."""

MAX_UNREPORTED_FACTOR = 3.0
"""Maximum ratio of the units assumed used to the units reported: a higher estimate is too unreliable."""

OWN_CEILING_SHARE = 0.5
"""Share of a gateway's part of a ceiling that it keeps to itself, if that is enough for one request."""

EMPTIED_COUNTER_DROP = 2.0
"""Decrease of a total, in multiples of the largest request, from which the counter is assumed to have been
emptied."""

MAX_EXHAUSTED_S = 5.0
"""Maximum seconds, on average, for which the counter's answer that a quota has no room is relied on: a spike
of requests does not last longer."""

# Records of customers, and loans

RECORD_KEPT_FOR_S = 180.0
"""Seconds without activity after which a customer's record is deleted, in a table of up to
`MAX_LENDERS_EXAMINED` records."""

RECORDS_CHECKED_AT_ONCE = 8
"""Number of records whose age is checked with each request."""

MAX_LENDERS_EXAMINED = 200
"""Maximum number of idle customers examined for a loan, the longest idle first: the work must not grow with
the number of customers."""

IDLE_AFTER_HORIZONS = 2.0
"""Horizons without activity after which a customer is idle. Above one, so that the freeze of new loans on a
customer that becomes active again lasts longer than any loan."""

# The queue

QUEUE_CHECK_INTERVAL_S = 0.02
"""Seconds between checks of a queue that holds requests: a small part of any latency target."""

QUEUE_CHECK_SPACING = 0.9
"""Share of the check interval during which no second timer is set."""

QUEUE_TARGET_SHARE = 0.5
"""Maximum share of the latency target that the expected waiting and answer times may take: the remainder
absorbs random variation."""

# Outlier detection

OUTCOMES_PER_SERVER = 8
"""Number of last outcomes by which a server is judged."""

MIN_SUCCESS_RATE = 0.5
"""Success rate below which a server is an outlier."""

MAX_EJECTION_S = 4.0
"""Seconds of ejection after a failure if all attempts at the server fail; shorter at higher success rates."""

CONNECT_FAILURE_WEIGHT = 2
"""Outcomes that a failed connection counts as, so that a server that is gone is detected sooner."""

REJECTION_BACKOFF_S = 0.5
"""Average seconds of backoff from a server that rejects attempts, doubled with each consecutive rejection."""

MAX_REJECTION_BACKOFF_S = 16.0
"""Maximum seconds of rejection backoff before jitter."""

MAX_BACKOFF_DOUBLINGS = 9
"""Maximum number of backoff doublings. It only keeps the power of two from growing without bound, because
`MAX_REJECTION_BACKOFF_S` is reached after fewer doublings."""

MIN_EXPECTED_LATENCY_S = 0.001
"""Minimum expected latency of an answer in seconds, which keeps the costs of servers comparable."""

# Server selection

SERVER_CONCURRENCY = 6.0
"""Attempts in flight at a server from all gateways that use it: enough for a few cores."""

MIN_SUBSET_SERVERS = 12
"""Minimum number of servers that a gateway uses."""

SUBSET_VISIT_INTERVAL_S = 2.5
"""Seconds between attempts at each server of the subset, at the current request rate."""

SUBSET_REFRESH_S = 1.0
"""Seconds between refreshes of the subset."""

CROSS_ZONE_FACTOR = 1.3
"""Factor on the cost of a server in another zone: crossing zones costs time, but less than a queue."""

SAME_SERVER_FACTOR = 4.0
"""Factor on the cost of a server for each earlier attempt of the same request there."""

SELECTION_JITTER = 0.05
"""Maximum share by which costs of servers are raised at random, so that gateways do not all choose alike."""

MIN_SUCCESS_WEIGHT = 0.1
"""Minimum success rate by which a server's cost is divided."""

# Slow start

SLOW_START_OVERLOAD_SHARE = 0.5
"""Share of the overload multiple up to which a warming server is loaded: the remainder covers random
variation and work that this gateway does not see."""

MAX_SLOW_START_FACTOR = 1.5
"""Maximum rate of a warming server, as a multiple of its warmth times the rate of a warm server: beyond that
its queue only grows."""

MIN_SLOW_START_LATENCY_S = 0.05
"""Minimum latency in seconds that is assumed for the rate that one core of a warming server can serve."""

# Concurrency limit

MIN_ATTEMPTS_PER_SERVER = 2.0
"""Minimum attempts in flight per server, of all gateways: they do not overload one or two cores."""

LIMIT_INCREASE = 1.07
"""Factor on the limit for a quick answer."""

LIMIT_DECREASE = 0.9
"""Factor on the limit for a slow answer: with this and the increase, a limit that is in use falls only
if more than four in ten answers are slow."""

NO_ANSWER_WEIGHT = 0.25
"""Weight of an attempt without an answer, relative to a slow answer: a third of the answers may be lost."""

SLOW_ANSWER_FACTOR = 2.5
"""Multiple of the lowest mean latency from which an answer is slow: servers should hold no queues."""

BASELINE_MIN_ANSWERS = 20.0
"""Number of answers before a mean latency is used for the baseline."""

BASELINE_MIN_AGE_S = 4.0
"""Seconds after the start before a mean latency is used for the baseline."""

BASELINE_RISE_PER_S = 0.03
"""Share by which the baseline rises per second, so that the limit adapts to a fleet that has become
permanently slower."""

# The server list

SERVER_LIST_RETRIES = 10
"""Number of retries of a failed server list request within the list's maximum age."""

# Attempts

SLOW_ATTEMPT_SHARE = 0.5
"""Share of the latency target after which an attempt is slow and another server may answer sooner."""

WRITE_DELAY_MARGIN_S = 0.15
"""Seconds by which the last byte of an attempt may be written later than the clock was read: the process may
be held up in between."""

NEVER_RAN = (Outcome.BUSY, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
"""Outcomes that prove that the request was not executed."""

HAS_ENDED = (*NEVER_RAN, Outcome.OK, Outcome.ERROR)
"""Outcomes that prove that no server is executing the attempt any more."""

COUNTER_RATE_LIMITS = RateLimits(
    increase=COUNTER_RATE_INCREASE,
    decrease=COUNTER_RATE_DECREASE,
    min_share=MIN_COUNTER_RATE_SHARE,
    min_burst=MIN_COUNTER_BURST_CALLS,
    memory=MEMORY_S,
)
"""Parameters by which the rate of counter calls adapts to the counter's answers."""
