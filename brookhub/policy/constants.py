"""Every tuned value of the decisions, with its unit and reason."""

from ..model import Outcome
from ..structures import RateLimits

SWEEP = 0.02  # s between looks at a queue that waits: a small part of any latency target
BATCH = 0.15  # s, about, that units wait to be added in the background: far inside any window
FRESH = 0.5  # s that a told total is word to go by: the room left may since have gone elsewhere
UNHEARD = 1.5  # times its Nth that a gateway lets in without word: most customers are far from their quotas
LIVES = 3.0  # windows that a count is kept: the last one's end is still read in the next
FORGET, LOOKED_AT = 180.0, 8  # s without a request until a record goes; looked at a time
LENDERS = 200  # idle customers that a loan looks at, the longest idle: work must not grow with their number
IDLE = 2.0  # idle time in horizons: more than one, so that a returner's freeze outlives any loan
EMPTIED = 2.0  # largest requests by which a total may shrink until the counter counts as emptied
PACE, PACE_LEAST = 150.0, 0.2  # counter calls a second at first, of all; share of those wanted kept
QUICKER = 1.5  # calls a second won by a quick answer: all together win so many times them, few or many
SLOWER = 0.8  # share kept after a late answer, once a wait
AT_ONCE = 2.0  # counter calls at one stroke at least: calls that come together
LATE = 0.4  # share of the counter's wait from which an answer counts as late: its queue grows
OUTCOMES_KEPT, FAILING = 8, 0.5  # last outcomes that judge a server; successes below which it is ejected
EJECTED_FOR = 4.0  # s after a failure for a server that only fails, less for one that fails less
BACKOFF, BACKOFF_MOST = 0.5, 16.0  # s, about, from one that takes nothing, doubled each time; at most
PLACES = 6.0  # places at a server, for all gateways that use it together: a few cores' worth
LIMIT_LEAST = 2.0  # attempts out for each server at least, by all: a core or two are not jammed by them
SUBSET_LEAST, EACH_WITHIN, REDRAW = 12, 2.5, 1.0  # servers; s between attempts at each; s between draws
WIDEN, NARROW = 1.07, 0.9  # factors on the limit for a quick and a slow answer: 4 in 10 may be slow
GIVEN_UP = 0.25  # of a slow answer that an attempt without one counts: a third of the answers may be lost
OVERFLOW_USED = 0.5  # of a full quota's overflow, that others used as it came: the rest was there before
UNREPORTED_MOST = 3.0  # times what is told that is taken to have passed, at most: beyond it is guesswork
HELD_FOR = 5.0  # s, about, at most, that a customer told to be without room is left alone: a spike is over
CROWDED = 2.5  # times the usual delay at its best from which an answer is slow: servers should hold no queues
SURE_AFTER, SURE_FROM = 20.0, 4.0  # answers, s since the start, until a mean counts as best
RELAX = 0.03  # share by which that best rises each second, so that a fleet that slowed for good is served
QUEUE_PART = 0.5  # share of the latency target for queue and answer, as expected: the rest is for chance
PATIENCE = 0.5  # share of the latency target after which an answer is slow, and another server may do better
MEMORY = 10.0  # s over which rates, delays and successes fade: several windows, shorter than most troubles
CROSSING = 1.3  # times longer that a server in another zone may seem: crossing costs, but less than a wait
COLD_PART = 0.5  # of what a cold server falls from, by its settings: chance and unseen work need the rest
COLD_MOST = 1.5  # times its warmth of what a warm one is sent, at most: beyond that its queue only grows
COUNTER_RATE = RateLimits(QUICKER, SLOWER, PACE_LEAST, AT_ONCE, MEMORY)
GOLDEN = 0.6180339887  # of a circle between numbers in turn: any few of them lie evenly round it
NEVER_RAN = (Outcome.BUSY, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # outcomes that prove that nothing ran
