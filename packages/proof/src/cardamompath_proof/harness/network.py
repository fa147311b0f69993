"""Links between failure domains and the platform."""

from __future__ import annotations

import math
import random

__all__ = [
    "PLATFORM",
    "Network",
]

PLATFORM = "platform"
"""Location of the log and of the instance list."""

INTRA_DOMAIN_DELAY = 0.0005
"""One-way delay in seconds within a failure domain."""

INTER_DOMAIN_DELAY = 0.0015
"""One-way delay in seconds between failure domains."""


class Network:
    """Connectivity and delays between locations.

    A location is a failure domain or the platform.

    Parameters
    ----------
    rng : random.Random
        Draws which messages are lost.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.cut_links: set[frozenset[str]] = set()
        self.loss_rate = 0.0
        """Fraction of the messages between instances that are lost."""
        self.extra_delay = 0.0
        """Seconds added to each one-way delay."""
        self.locations: set[str] = set()
        self.platform_up = True
        self.platform_reachable_since: dict[str, float] = {}
        """Time since which a location has a path to the platform, by location;
        infinity without a path."""

    def is_connected(self, first: str, second: str) -> bool:
        """Return whether the direct link between two locations is up."""
        return (
            first == second or frozenset((first, second)) not in self.cut_links
        )

    def delay(self, first: str, second: str) -> float:
        """Return the one-way delay in seconds between two locations."""
        is_local = first == second
        return self.extra_delay + (
            INTRA_DOMAIN_DELAY if is_local else INTER_DOMAIN_DELAY
        )

    def cut(self, first: str, second: str, now: float) -> None:
        """Break the link between two locations."""
        self.cut_links.add(frozenset((first, second)))
        self.update_reachability(now)

    def heal(self, first: str, second: str, now: float) -> None:
        """Restore the link between two locations."""
        self.cut_links.discard(frozenset((first, second)))
        self.update_reachability(now)

    def update_reachability(self, now: float) -> None:
        """Update since when each location has a path to the platform."""
        reachable = self._find_reachable()
        for location in self.locations:
            if location not in reachable:
                self.platform_reachable_since[location] = math.inf
            elif (
                self.platform_reachable_since.get(location, math.inf)
                == math.inf
            ):
                self.platform_reachable_since[location] = now

    def _find_reachable(self):
        reachable = {PLATFORM} if self.platform_up else set()
        frontier = list(reachable)
        while frontier:
            current = frontier.pop()
            neighbours = {
                location
                for location in self.locations
                if self.is_connected(current, location)
            }
            frontier += neighbours - reachable
            reachable |= neighbours
        return reachable

    def draw_loss(self) -> bool:
        """Draw whether the next message is lost."""
        return self.loss_rate > 0 and self.rng.random() < self.loss_rate
