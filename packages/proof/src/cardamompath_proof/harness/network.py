"""Links between failure domains and the platform."""

from __future__ import annotations

import math
import random

__all__ = [
    "PLATFORM",
    "Network",
]

PLATFORM = "platform"
"""The place of the log and of the instance list."""

NEAR_DELAY = 0.0005
"""Seconds one way within a failure domain."""

FAR_DELAY = 0.0015
"""Seconds one way between failure domains."""


class Network:
    """Which places reach one another, and in what time.

    Parameters
    ----------
    rng : random.Random
        Decides which messages are lost.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.cuts: set[frozenset[str]] = set()
        self.loss = 0.0
        """Share of the messages between instances that are lost."""
        self.extra = 0.0
        """Seconds that each way takes beside its usual time."""
        self.places: set[str] = set()
        self.platform_up = True
        self.path_since: dict[str, float] = {}
        """Since when a place has a path to the platform."""

    def linked(self, one: str, other: str) -> bool:
        """Return whether two places reach each other."""
        return one == other or frozenset((one, other)) not in self.cuts

    def delay(self, one: str, other: str) -> float:
        """Return the seconds one way between two places."""
        near = one == other
        return self.extra + (NEAR_DELAY if near else FAR_DELAY)

    def cut(self, one: str, other: str, now: float) -> None:
        """Break the link between two places."""
        self.cuts.add(frozenset((one, other)))
        self.refresh(now)

    def heal(self, one: str, other: str, now: float) -> None:
        """Mend the link between two places."""
        self.cuts.discard(frozenset((one, other)))
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Note since when each place has a path to the platform."""
        reached = self._reached()
        for place in self.places:
            if place not in reached:
                self.path_since[place] = math.inf
            elif self.path_since.get(place, math.inf) == math.inf:
                self.path_since[place] = now

    def _reached(self):
        reached = {PLATFORM} if self.platform_up else set()
        frontier = list(reached)
        while frontier:
            one = frontier.pop()
            near = {place for place in self.places if self.linked(one, place)}
            frontier += near - reached
            reached |= near
        return reached

    def loses(self) -> bool:
        """Return whether the next message is lost."""
        return self.loss > 0 and self.rng.random() < self.loss
