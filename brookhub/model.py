"""What the decisions (`policy`) are told, in which types, and the port through which they act.

Nothing here decides. Times are seconds, with fractions. Ids are for the door: inside, objects point to each
other.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Callable, Iterable, Protocol


class Repeat(Enum):
    """Whether a route's API calls may run again."""

    IDEMPOTENT = "may run again"
    TOKENED = "carries a mark by which a group of servers drops its repeats"
    NON_IDEMPOTENT = "must never run twice"


class Group(Enum):
    """The servers that drop the repeats of a tokened API call."""

    ALL = "all servers"
    ZONE = "those of one zone"
    CELL = "those of one cell"


class Outcome(Enum):
    """How an upstream try, a probe or a count ended."""

    OK = "answered"
    ERROR = "the server answered with an error"
    FULL = "turned away unseen"
    TIMEOUT = "no answer in time"
    UNCONNECTED = "no connection in time"
    RESET = "the connection broke"
    CANCELLED = "cancelled here"
    UNSENT = "never sent"
    NOTED = "kept by the recovery, to be added later; there is no total"


class Answer(Enum):
    """The one final answer that a request gets."""

    SERVED = "a server's answer"
    REJECTED = "refused, with a time to come back in"
    FAILED = "no answer in time, with no promise whether it ran"


class State(Enum):
    """What the server list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True)
class Route:
    """A kind of API call. Its target grows by `stretch` times its own work where that is above 0."""

    name: str
    target: float
    client_timeout: float
    repeat: Repeat = Repeat.IDEMPOTENT
    group: Group = Group.ALL
    window: float = 0.0
    value: float = 1.0
    late_value: float = 0.0
    streamed: bool = False
    stretch: float = 0.0


@dataclass(frozen=True)
class Plan:
    """A customer's plan: a store of `burst` units filled at `rate`, a cap on tries, a ceiling; 0: none."""

    name: str
    rate: float = 0.0
    burst: float = 0.0
    open_cap: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    value: float = 1.0
    beyond_value: float = 0.0
    beyond_cost: float = 0.0


@dataclass(frozen=True)
class GatewaySettings:
    """What one gateway of a site goes by from its start on. Times in seconds, quotas in units.

    Raises ValueError where a value can't be worked with, by its name.
    """

    routes: tuple[Route, ...]
    plans: tuple[Plan, ...]
    zone: int
    slot: int  # its place among the gateways, from 0
    gateways: int  # that hold each quota together
    counter_wait: float  # for an answer of the counter; 0: there is no counter
    largest: float  # units of the largest API call
    trued_up: bool  # whether servers tell what a call has used
    max_tries: int
    second_copies: bool
    may_cancel: bool
    longest_retry_after: float  # 0: no time to come back is told
    cold_from: float  # of its capacity that a server has at its start
    warm_after: float  # until it has all
    fall_multiple: float  # of what it can do when cold, from which a server falls
    fall_within: float
    asks_for_servers: bool  # else the list is pushed
    ask_within: float

    def __post_init__(self) -> None:
        needed: dict[str, float] = {"gateways": self.gateways, "max_tries": self.max_tries}
        needed |= {route.name: route.target for route in self.routes}
        needed |= {f"{plan.name}: burst": plan.burst for plan in self.plans if plan.rate}
        for name, value in needed.items():
            if not value > 0:
                raise ValueError(f"{name} must be above 0, not {value}")


@dataclass(eq=False)
class Server:
    """One back-end server, as the server list tells it. `view` is the decisions' own record of it."""

    id: int
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0
    state: State = State.READY
    up_since: float = 0.0
    view: Any = None


@dataclass(eq=False)
class Customer:
    """Who pays for an API call. `account` is the decisions' own record."""

    id: int
    plan: Plan
    account: Any = None


@dataclass(eq=False)
class ApiCall:
    """One API call of a client, up to its one final answer. `request` is the decisions' own record of it."""

    id: int
    customer: Customer
    route: Route
    expires: float
    units: float = 1.0
    gateways: int = 1
    first_gateway: int = 0
    repeated: bool = False
    write: bool = False
    attempts: list["Attempt"] = field(default_factory=list)
    request: Any = None


@dataclass(eq=False)
class Attempt:
    """One sending of an API call to a server."""

    call: ApiCall
    server: Server
    number: int
    sent: float
    outcome: Outcome | None = None
    view: Any = None


class Fleet(Protocol):
    """What the decisions are told of the fleet, by whoever knows who is there (membership)."""

    def fleet_told(self, live: int, rank: int, sure: int) -> None:
        """Gateways that are there, this one's place among them (from 0), those that have not surely left."""


class Choices(Protocol):
    """What the fleet knows and chooses together of its servers. Servers are named by their ids."""

    least: int  # servers that this gateway uses at least

    def listed(self, servers: dict[int, Server]) -> None:
        """The servers that there are."""

    def is_ejected(self, server: int) -> bool:
        """Whether the fleet leaves it alone now."""

    def may_probe(self, server: int) -> bool:
        """Whether it is this gateway's turn to try one that the fleet leaves alone."""

    def attempt_started(self, server: int) -> None:
        """An attempt goes to it."""

    def attempt_ended(self, server: int, outcome: Outcome) -> None:
        """How an attempt ended there, with nothing else to blame than the server or the way to it."""

    def ring(self, views: list[Any], start: int) -> Iterable[Any]:
        """The servers' records in the order of this gateway's preference; `start`.

        Where its own stretch begins.
        """


class IndependentChoices:
    """No word of other gateways: nothing is left alone, nothing awaits this one's turn."""

    least = 0

    def listed(self, servers: dict[int, Server]) -> None:
        """Nothing to do."""

    def is_ejected(self, server: int) -> bool:
        """Never."""
        return False

    def may_probe(self, server: int) -> bool:
        """Never."""
        return False

    def attempt_started(self, server: int) -> None:
        """Nothing to do."""

    def attempt_ended(self, server: int, outcome: Outcome) -> None:
        """Nothing to do."""

    def ring(self, views: list[Any], start: int) -> Iterable[Any]:
        """All servers, from its own stretch on."""
        return views[start:] + views[:start]


Told = Callable[[Outcome, float, float], None]  # how a count ended, its total, how long it took


class Port(Protocol):
    """How the decisions act on the world, and what time it is there."""

    now: float

    def send(self, call: ApiCall, server: Server, timeout: float) -> Attempt:
        """Start an upstream try; a timeout of 0 waits until the client leaves."""

    def cancel(self, upstream: Attempt) -> None:
        """Stop waiting for a try; its end is still told."""

    def rate_limit(self, call: ApiCall, retry_after: float) -> None:
        """Final answer: it is safe to ask again, in so many seconds (0: no advice)."""

    def error(self, call: ApiCall) -> None:
        """Final answer: failed, with no promise whether it ran."""

    def count(self, name: int, amount: float, lives: float, told: Told) -> None:
        """Add to a named count that lasts `lives` seconds from its first add; `told` hears the total."""

    def probe(self, server: Server) -> None:
        """Ask a server whether it is there; `Gateway.probed` follows."""

    def tell(self, peer: int | None, data: bytes) -> None:
        """A short message to one other gateway, or to all of them."""

    def close_idle(self, server: Server) -> None:
        """Close the idle connections to a server."""

    def follow_servers(self, on: bool) -> None:
        """Ask for the server list's changes from now on, or no more of them."""

    def fetch_servers(self) -> None:
        """Ask for the whole server list once."""

    def later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call back after so many seconds."""

    def log(self, text: str) -> None:
        """A line for the people on call."""
