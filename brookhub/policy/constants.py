"""Every tuned value of the decisions, with its unit and the reason for its size."""

from ..model import Outcome
from ..structures import RateLimits

# Statistics

MEMORY_S = 10.0
"""s over which rates, latencies and successes fade: several windows, shorter than most troubles."""

GOLDEN_RATIO = 0.6180339887
"""Of a circle, between consecutive numbers: any few of them lie evenly round it."""

# The counter and the quota

COUNTER_BATCH_INTERVAL_S = 0.15
"""s, on average, that units wait to be added in the background: far inside any window."""

COUNT_LIFETIME_WINDOWS = 3.0
"""Windows that a count is kept: the end of the last window is still read in the next."""

TOTAL_FRESH_FOR_S = 0.5
"""s that a total is relied on: the room it showed may since have been used by other gateways."""

UNCONFIRMED_SHARE_FACTOR = 1.5
"""Times its share that a gateway admits without the counter: most customers are far from their quotas."""

INITIAL_COUNTER_CALLS_PER_S = 150.0
"""Counter calls a second of all gateways together, at first."""

MIN_COUNTER_RATE_SHARE = 0.2
"""Share of the wanted counter calls that a gateway may always make."""

COUNTER_RATE_INCREASE = 1.5
"""Calls a second won by a quick answer: all gateways together win by their answers, not by their number."""

COUNTER_RATE_DECREASE = 0.8
"""Factor on the rate after a late answer, at most once a counter timeout."""

MIN_COUNTER_BURST_CALLS = 2.0
"""Counter calls at once, at least: calls that come together."""

LATE_ANSWER_SHARE = 0.4
"""Share of the counter's timeout from which an answer is late: the counter's queue is growing."""

BACKGROUND_RESERVE = 0.5
"""Share of the counter rate that background additions and client retries leave to requests that wait."""

SOFT_PLAN_RESERVE = 0.25
"""Share of the counter rate that requests of soft plans leave to others where calls are scarce."""

TIMER_MARGIN_S = 0.001
"""s beyond the computed moment at which a timer looks again, so that rounding does not make it early."""

MAX_COUNT_LIFETIME_S = 60.0
"""s that a count lives at most, whatever the window."""

OVERFLOW_USED_SHARE = 0.5
"""Share of a full quota's overflow that others are taken to have used as it came."""

MAX_UNREPORTED_FACTOR = 3.0
"""Times the reported units that are taken to have been used, at most: beyond that it is guesswork."""

OWN_CEILING_SHARE = 0.5
"""Share of a gateway's part of a ceiling that stays its own while it holds a request."""

EMPTIED_COUNTER_DROP = 2.0
"""Largest requests by which a total may shrink until the counter counts as emptied."""

MAX_EXHAUSTED_S = 5.0
"""s, on average, at most, that the counter is not asked for a customer without room: a spike is over then."""

# Records of customers, and loans

RECORD_KEPT_FOR_S = 180.0
"""s without a request until a customer's record is dropped."""

RECORDS_CHECKED_AT_ONCE = 8
"""Records that are checked for their age with each request."""

MAX_LENDERS_EXAMINED = 200
"""Idle customers that a loan looks at, the longest idle first: work must not grow with their number."""

IDLE_AFTER_HORIZONS = 2.0
"""Idle time in horizons: above one, so that the freeze of a returning customer outlives any loan."""

# The queue

QUEUE_CHECK_INTERVAL_S = 0.02
"""s between looks at a queue in which requests wait: a small part of any latency target."""

QUEUE_CHECK_SPACING = 0.9
"""Share of that interval in which no second timer is set."""

QUEUE_TARGET_SHARE = 0.5
"""Share of the latency target that queueing and answer may take, as expected: the rest is for chance."""

# Outlier detection

OUTCOMES_PER_SERVER = 8
"""Last outcomes by which a server is judged."""

MIN_SUCCESS_RATE = 0.5
"""Share of successes below which a server is an outlier."""

MAX_EJECTION_S = 4.0
"""s of ejection after a failure for a server that only fails, less for one that fails less."""

CONNECT_FAILURE_WEIGHT = 2
"""Outcomes that a failed connection counts as: a server that is gone is recognised sooner."""

REJECTION_BACKOFF_S = 0.5
"""s, on average, of backoff from a server that takes nothing, doubled with each rejection."""

MAX_REJECTION_BACKOFF_S = 16.0
"""s of that backoff, at most, before its jitter."""

MAX_BACKOFF_DOUBLINGS = 9
"""Doublings of the backoff: keeps the power small, the maximum above binds earlier."""

MIN_EXPECTED_LATENCY_S = 0.001
"""s that an answer is expected to take, at least: so that costs stay comparable."""

# Server selection

SERVER_CONCURRENCY = 6.0
"""Attempts in flight at a server, of all gateways that use it together: a few cores' worth."""

MIN_SUBSET_SERVERS = 12
"""Servers that a gateway uses at least."""

SUBSET_VISIT_INTERVAL_S = 2.5
"""s between attempts at each server of the subset, at the present rate."""

SUBSET_REFRESH_S = 1.0
"""s between refreshes of the subset."""

CROSS_ZONE_FACTOR = 1.3
"""Times longer that a server of another zone is taken to answer: crossing costs, but less than a queue."""

SAME_SERVER_FACTOR = 4.0
"""Times the cost of a server for each earlier attempt of the same request there."""

SELECTION_JITTER = 0.05
"""Share by which the costs of servers vary at random, so that gateways do not all choose alike."""

MIN_SUCCESS_WEIGHT = 0.1
"""Success rate that a server's cost is divided by, at least."""

# Slow start

SLOW_START_OVERLOAD_SHARE = 0.5
"""Share of the overload multiple that a warming server is sent: chance and unseen work need the rest."""

MAX_SLOW_START_FACTOR = 1.5
"""Times its warmth of what a warm server is sent, at most: beyond that its queue only grows."""

MIN_SLOW_START_LATENCY_S = 0.05
"""s of an answer for the rate that one core of a warming server bears, at least."""

# Concurrency limit

MIN_ATTEMPTS_PER_SERVER = 2.0
"""Attempts in flight for each server, of all gateways, at least: a core or two are not jammed by them."""

LIMIT_INCREASE = 1.07
"""Factor on the limit for a quick answer."""

LIMIT_DECREASE = 0.9
"""Factor on the limit for a slow answer: with the increase, four in ten answers may be slow."""

NO_ANSWER_WEIGHT = 0.25
"""Of a slow answer, that an attempt without one counts: a third of the answers may be lost."""

SLOW_ANSWER_FACTOR = 2.5
"""Times the usual latency at its best from which an answer is slow: servers should hold no queues."""

BASELINE_MIN_ANSWERS = 20.0
"""Answers until a mean latency counts for the baseline."""

BASELINE_MIN_AGE_S = 4.0
"""s since the start until a mean latency counts for the baseline."""

BASELINE_RISE_PER_S = 0.03
"""Share by which the baseline rises each second, so that a fleet that slowed for good is served."""

# The server list

SERVER_LIST_RETRIES = 10
"""Times that a server list is asked for again within its maximal age, where asking fails."""

# Attempts

SLOW_ATTEMPT_SHARE = 0.5
"""Share of the latency target after which an attempt is slow, and another server may do better."""

NEVER_RAN = (Outcome.BUSY, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
"""Outcomes that prove that the request was not executed."""

COUNTER_RATE_LIMITS = RateLimits(
    increase=COUNTER_RATE_INCREASE,
    decrease=COUNTER_RATE_DECREASE,
    min_share=MIN_COUNTER_RATE_SHARE,
    min_burst=MIN_COUNTER_BURST_CALLS,
    memory=MEMORY_S,
)
"""How the rate of counter calls follows the counter's answers."""
