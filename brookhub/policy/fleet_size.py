"""The number of gateways in the fleet, as reported by membership."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class FleetSize:
    """Numbers of gateways. In a network partition, `possible` includes the gateways of both sides."""

    configured: int  # Number of gateways in the settings.
    live: int  # Number of gateways that this one sees as running.
    possible: int  # Number of gateways that are not known to have left.

    def holders(self, announced: int) -> int:
        """Return the number of gateways that hold a quota.

        `announced`: number of holders stated in the customer's requests. If that is the whole configured
        fleet, the quota is held by the gateways that are not known to have left.
        """
        return self.possible if announced == self.configured else announced
