"""Learned run times of tasks by route and kind of executor."""

from __future__ import annotations

import math

__all__ = [
    "RunTimes",
]

FIRST_GAIN = 0.5
LEAST_GAIN = 0.04
"""Weight of one more run once many were seen."""
LARGEST_STEP = 1.0
"""Largest surprise that counts, in logarithmic units."""
LEAST_TIME = 1e-3
"""Shortest run time that is learned from, in seconds."""
DEFAULT_TIME = 0.3
"""Seconds assumed for a route without runs or estimates."""
FACTOR_GAIN = 0.1
"""Weight of one more run in the speed of a kind of executor."""
MOST_ROUTES = 1024
"""Routes kept; beyond that the caller's estimates are used."""


class RunTimes:
    """Run times in logarithms, as a size of the route and a factor.

    The factor of a kind of executor is shared by all routes until a
    route has runs of its own there.
    """

    def __init__(self):
        self._sizes: dict[tuple[str, str], tuple[float, int]] = {}
        self._routes: dict[str, float] = {}
        self._factors: dict[str, float] = {}

    def expected(self, route: str, kind: str, estimate: float) -> float:
        """Return the seconds that a task is expected to run.

        Parameters
        ----------
        route, kind : str
            The route, and the kind of executor.
        estimate : float
            Seconds that the caller expects; used for unknown routes.
        """
        known = self._sizes.get((route, kind))
        if known is not None:
            return math.exp(known[0])
        size = self._routes.get(route)
        if size is None:
            size = math.log(max(estimate or DEFAULT_TIME, LEAST_TIME))
        return math.exp(size + self._factors.get(kind, 0.0))

    def observe(self, route: str, kind: str, elapsed: float) -> None:
        """Learn from a run that ended well after `elapsed` seconds."""
        took = math.log(max(elapsed, LEAST_TIME))
        key = (route, kind)
        size, count = self._sizes.get(key, (took, 0))
        if count == 0 and len(self._routes) >= MOST_ROUTES:
            return
        surprise = max(-LARGEST_STEP, min(LARGEST_STEP, took - size))
        gain = max(FIRST_GAIN / (count + 1), LEAST_GAIN)
        self._sizes[key] = (size + gain * surprise, count + 1)
        self._learn_factor(route, kind, took)

    def _learn_factor(self, route, kind, took):
        base = self._routes.setdefault(route, took)
        factor = self._factors.get(kind, 0.0)
        surprise = took - base - factor
        surprise = max(-LARGEST_STEP, min(LARGEST_STEP, surprise))
        self._factors[kind] = factor + FACTOR_GAIN * surprise
        self._routes[route] = base + FACTOR_GAIN * surprise
