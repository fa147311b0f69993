"""Estimated run times of tasks by route and executor model."""

from __future__ import annotations

import math
from typing import NamedTuple

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
MAX_KINDS = 1024
"""Maximum number of kinds of tasks kept; others use the caller's estimates."""
ESTIMATE_RATIO = 8.0
"""Ratio of callers' estimates from which tasks of a route are of different
kinds.  Estimates of tasks of one kind differ less."""
FRESH_TIME = 2.0
"""Seconds after a run for which its kind is surely known."""
FADE_TIME = 2.0
"""Time constant in seconds with which it is forgotten from then on.  A kind
whose batches are refused as too long has no more runs, and needs a way back to
the callers' estimates."""


class _Size(NamedTuple):
    """What is known of the run times of a kind on a model."""

    log_time: float
    count: float
    """Number of runs, less those that were forgotten."""
    observed_at: float


class RunTimes:
    """Run times as the product of a kind's size and a model's factor.

    Tasks of one route for which callers expect times of similar magnitude
    are of one kind.  All values are kept as logarithms.  The factor of an
    executor model applies to all kinds that have no runs of their own on the
    model.
    """

    def __init__(self):
        self._sizes: dict[tuple[str, int, str], _Size] = {}
        """By kind and model."""
        self._kinds: dict[tuple[str, int], float] = {}
        """Size of each kind over all models."""
        self._factors: dict[str, float] = {}

    def expected(
        self, route: str, model: str, estimate: float, now: float
    ) -> float:
        """Return the expected run time of a task in seconds.

        Parameters
        ----------
        route, model : str
            The route, and the model of the executor.
        estimate : float
            Seconds that the caller expects; 0 if unknown.
        now : float
            Present time in seconds.
        """
        kind = _kind_of(route, estimate)
        size = self._sizes.get((*kind, model))
        if size is not None:
            return math.exp(_fade(size, estimate, now).log_time)
        log_time = self._kinds.get(kind, _log_estimate(estimate))
        return math.exp(log_time + self._factors.get(model, 0.0))

    def observe(
        self,
        route: str,
        model: str,
        estimate: float,
        elapsed: float,
        now: float,
    ) -> None:
        """Update the estimates from a run that succeeded.

        Parameters
        ----------
        route, model : str
            The route, and the model of the executor.
        estimate : float
            Seconds that the caller expected; 0 if unknown.
        elapsed : float
            Run time in seconds.
        now : float
            Present time in seconds.
        """
        log_time = math.log(max(elapsed, MIN_TIME))
        kind = _kind_of(route, estimate)
        size = self._sizes.get((*kind, model))
        if size is None:
            if len(self._kinds) >= MAX_KINDS and kind not in self._kinds:
                return
            size = _Size(log_time, 0.0, now)
        size = _fade(size, estimate, now)
        deviation = max(-MAX_STEP, min(MAX_STEP, log_time - size.log_time))
        gain = max(INITIAL_GAIN / (size.count + 1.0), MIN_GAIN)
        self._sizes[*kind, model] = _Size(
            size.log_time + gain * deviation, size.count + 1.0, now
        )
        self._update_factor(kind, model, log_time)

    def _update_factor(self, kind, model, log_time):
        base = self._kinds.setdefault(kind, log_time)
        factor = self._factors.get(model, 0.0)
        deviation = log_time - base - factor
        deviation = max(-MAX_STEP, min(MAX_STEP, deviation))
        self._factors[model] = factor + FACTOR_GAIN * deviation
        self._kinds[kind] = base + FACTOR_GAIN * deviation


def _kind_of(route, estimate):
    """Return the kind of a task: its route, and the magnitude expected."""
    return route, round(_log_estimate(estimate) / math.log(ESTIMATE_RATIO))


def _log_estimate(estimate):
    return math.log(max(estimate or DEFAULT_TIME, MIN_TIME))


def _fade(size, estimate, now):
    """Return what is left of the knowledge of a kind without recent runs."""
    silence = now - size.observed_at - FRESH_TIME
    if silence <= 0.0:
        return size
    left = math.exp(-silence / FADE_TIME)
    prior = _log_estimate(estimate)
    return size._replace(
        log_time=prior + left * (size.log_time - prior),
        count=size.count * left,
    )
