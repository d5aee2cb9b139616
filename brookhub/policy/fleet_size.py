"""How many gateways there are, as membership tells it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class FleetSize:
    """Numbers of gateways. In a network partition both sides are possibly there."""

    configured: int  # by the settings
    live: int  # that are there, as seen from here
    possible: int  # that have not surely left

    def holders(self, announced: int) -> int:
        """The gateways that hold a quota that `announced` gateways hold by the customer's requests.

        A quota of the whole fleet is held by the gateways that have not surely left.
        """
        return self.possible if announced == self.configured else announced
