"""Straight lines through measured costs."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    "Line",
    "Sample",
    "fit_line",
]


class Sample(NamedTuple):
    """A cost at one size."""

    size: float
    cost: float


class Line(NamedTuple):
    """``cost = base + slope * size``."""

    base: float
    slope: float
    residual: float
    """Largest distance of a sample from the line, as a share of it."""

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.base + self.slope * size


def fit_line(samples: Sequence[Sample]) -> Line:
    """Fit a line by least squares.

    Parameters
    ----------
    samples : sequence of Sample
        At least two, at different sizes.
    """
    fitted = statistics.linear_regression(
        [one.size for one in samples], [one.cost for one in samples]
    )
    line = Line(fitted.intercept, fitted.slope, 0.0)
    distances = [
        abs(one.cost - line.at(one.size)) / max(abs(one.cost), 1e-12)
        for one in samples
    ]
    return line._replace(residual=max(distances))
