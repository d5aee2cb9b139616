"""The interface through which recovery uses the adapter that drives it.

`routing.recovery` implements the port on sockets, `emulator.limiter` in simulated time. All methods of this
package, and all callbacks that it passes to the port, run while the adapter holds the lock that protects the
policy (`routing.port.SocketGatewayPort.lock` on sockets). None of them may block. No class of this package
has its own lock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NewType, Protocol

from ..model import Outcome
from ..ports import CounterCallback

CounterKey = NewType("CounterKey", int)
"""A name at the counter: of a register, a claim, a membership, or a count in an epoch."""

UnitsListener = Callable[[int, float, float], None]
"""Callback for added units: name of the count, units (below 0 if given back), lifetime in seconds."""


class RecoveryPort(Protocol):
    """Access to the counter, the clocks, the policy and the log of one limiter."""

    def now(self) -> float:
        """Return the seconds on this limiter's monotonic clock."""

    def wall_clock(self) -> float:
        """Return the seconds on the clock that all limiters share.

        The limiters' clocks must agree to within a tenth of a heartbeat interval.
        """

    def random(self) -> float:
        """Return a random number in [0, 1)."""

    def add_to_counter(
        self, key: CounterKey, amount: float, lifetime: float, callback: CounterCallback
    ) -> None:
        """Add to a name at the counter; `callback` gets the total.

        The name expires `lifetime` seconds after the first add.
        """

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` once after `seconds`."""

    def grant_share(self, share: float) -> None:
        """Set the share (0 to 1) of each quota that the policy may grant."""

    def log(self, event: str, **fields: object) -> None:
        """Write a log event."""


def ignore_reply(outcome: Outcome, total: float, seconds: float) -> None:
    """Ignore the reply to a counter call."""


def ignore_units(name: int, amount: float, lifetime: float) -> None:
    """Ignore a change of the ledger's units. Used by a limiter that keeps no log."""
