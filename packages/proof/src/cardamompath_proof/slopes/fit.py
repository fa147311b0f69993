"""Linear regression of measured costs."""

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
    """``cost = intercept + slope * size``."""

    intercept: float
    slope: float
    residual: float
    """Largest distance of a sample from the line, as a share of its cost."""

    def cost_at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.intercept + self.slope * size


def fit_line(samples: Sequence[Sample]) -> Line:
    """Fit a line by least squares.

    Parameters
    ----------
    samples : sequence of Sample
        At least two, at different sizes.
    """
    regression = statistics.linear_regression(
        [sample.size for sample in samples],
        [sample.cost for sample in samples],
    )
    line = Line(regression.intercept, regression.slope, 0.0)
    distances = [
        abs(sample.cost - line.cost_at(sample.size))
        / max(abs(sample.cost), 1e-12)
        for sample in samples
    ]
    return line._replace(residual=max(distances))
