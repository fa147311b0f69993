"""Estimated run times of tasks by route and executor model."""

from __future__ import annotations

import math

__all__ = [
    "RunTimes",
]

INITIAL_GAIN = 0.5
"""A new run has this weight divided by the number of runs."""
MIN_GAIN = 0.04
"""Minimum weight of a new run."""
MAX_STEP = 1.0
"""Maximum deviation that counts, in units of the natural logarithm."""
MIN_TIME = 1e-3
"""Lower bound on observed run times, in seconds."""
DEFAULT_TIME = 0.3
"""Seconds assumed for a route without runs or estimates."""
FACTOR_GAIN = 0.1
"""Weight of a new run in the factor of an executor model."""
MAX_ROUTES = 1024
"""Maximum number of routes kept; others use the caller's estimates."""


class RunTimes:
    """Run times as the product of a route's size and a model's factor.

    All values are kept as logarithms.  The factor of an executor model
    applies to all routes that have no runs of their own on the model.
    """

    def __init__(self):
        self._sizes: dict[tuple[str, str], tuple[float, int]] = {}
        """Size and number of runs by route and model."""
        self._routes: dict[str, float] = {}
        """Size of each route over all models."""
        self._factors: dict[str, float] = {}

    def expected(self, route: str, model: str, estimate: float) -> float:
        """Return the expected run time of a task in seconds.

        Parameters
        ----------
        route, model : str
            The route, and the model of the executor.
        estimate : float
            Seconds that the caller expects; used for unknown routes.
        """
        entry = self._sizes.get((route, model))
        if entry is not None:
            return math.exp(entry[0])
        size = self._routes.get(route)
        if size is None:
            size = math.log(max(estimate or DEFAULT_TIME, MIN_TIME))
        return math.exp(size + self._factors.get(model, 0.0))

    def observe(self, route: str, model: str, elapsed: float) -> None:
        """Update the estimates from a run that succeeded.

        Parameters
        ----------
        route, model : str
            The route, and the model of the executor.
        elapsed : float
            Run time in seconds.
        """
        log_time = math.log(max(elapsed, MIN_TIME))
        key = (route, model)
        size, count = self._sizes.get(key, (log_time, 0))
        if count == 0 and len(self._routes) >= MAX_ROUTES:
            return
        deviation = max(-MAX_STEP, min(MAX_STEP, log_time - size))
        gain = max(INITIAL_GAIN / (count + 1), MIN_GAIN)
        self._sizes[key] = (size + gain * deviation, count + 1)
        self._update_factor(route, model, log_time)

    def _update_factor(self, route, model, log_time):
        base = self._routes.setdefault(route, log_time)
        factor = self._factors.get(model, 0.0)
        deviation = log_time - base - factor
        deviation = max(-MAX_STEP, min(MAX_STEP, deviation))
        self._factors[model] = factor + FACTOR_GAIN * deviation
        self._routes[route] = base + FACTOR_GAIN * deviation
