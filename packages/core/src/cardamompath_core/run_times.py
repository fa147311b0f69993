"""Estimated run times of tasks by route and executor model."""

from __future__ import annotations

import math
from typing import NamedTuple

__all__ = [
    "DEFAULT_TIME",
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
FRESH_TIME = 4.0
"""Seconds after a run for which its kind is surely known."""
FADE_TIME = 2.0
"""Time constant in seconds with which it is forgotten from then on.  A kind
whose batches are refused as too long has no more runs, and needs a way back to
the callers' estimates."""


class _Size(NamedTuple):
    """What is known of the run times of a kind, on a model or on all."""

    log_time: float
    count: float
    """Number of runs, less those that were forgotten."""


class _Kind:
    """Tasks of one route for which callers expect similar times."""

    __slots__ = ("by_model", "log_time", "observed_at")

    def __init__(self, log_time: float, now: float):
        self.log_time = log_time
        """Logarithm of the run time over all models."""
        self.observed_at = now
        """When a run was last observed, on any model."""
        self.by_model: dict[str, _Size] = {}

    def remaining(self, now: float) -> float:
        """Return the share of what was learned that is not forgotten."""
        silence = now - self.observed_at - FRESH_TIME
        return 1.0 if silence <= 0.0 else math.exp(-silence / FADE_TIME)

    def shift(self, estimate: float, now: float) -> float:
        """Return by how much it has gone back to the caller's estimate."""
        missing = 1.0 - self.remaining(now)
        return missing * (_log_estimate(estimate) - self.log_time)

    def forget(self, estimate: float, now: float) -> None:
        """Keep only what is not forgotten; the ratios of models stay."""
        shift, remaining = self.shift(estimate, now), self.remaining(now)
        self.log_time += shift
        self.observed_at = now
        for model, size in self.by_model.items():
            self.by_model[model] = _Size(
                size.log_time + shift, size.count * remaining
            )


class RunTimes:
    """Run times as the product of a kind's size and a model's factor.

    Tasks of one route for which callers expect times of similar magnitude
    are of one kind.  All values are kept as logarithms.  The factor of an
    executor model applies to all kinds that have no runs of their own on the
    model.
    """

    def __init__(self):
        self._kinds: dict[tuple[str, int], _Kind] = {}
        """By route and magnitude of the callers' estimates."""
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
        factor = self._factors.get(model, 0.0)
        kind = self._kinds.get(_key_of(route, estimate))
        if kind is None:
            return math.exp(_log_estimate(estimate) + factor)
        size = kind.by_model.get(model)
        known = kind.log_time + factor if size is None else size.log_time
        return math.exp(known + kind.shift(estimate, now))

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
        key = _key_of(route, estimate)
        kind = self._kinds.get(key)
        if kind is None:
            if len(self._kinds) >= MAX_KINDS:
                return
            kind = self._kinds[key] = _Kind(log_time, now)
        kind.forget(estimate, now)
        size = kind.by_model.get(model, _Size(log_time, 0.0))
        deviation = max(-MAX_STEP, min(MAX_STEP, log_time - size.log_time))
        gain = max(INITIAL_GAIN / (size.count + 1.0), MIN_GAIN)
        kind.by_model[model] = _Size(
            size.log_time + gain * deviation, size.count + 1.0
        )
        self._update_factor(kind, model, log_time)

    def _update_factor(self, kind, model, log_time):
        factor = self._factors.get(model, 0.0)
        deviation = log_time - kind.log_time - factor
        deviation = max(-MAX_STEP, min(MAX_STEP, deviation))
        self._factors[model] = factor + FACTOR_GAIN * deviation
        kind.log_time += FACTOR_GAIN * deviation


def _key_of(route, estimate):
    """Return the key of a kind: its route, and the magnitude expected."""
    return route, round(_log_estimate(estimate) / math.log(ESTIMATE_RATIO))


def _log_estimate(estimate):
    return math.log(max(estimate or DEFAULT_TIME, MIN_TIME))
