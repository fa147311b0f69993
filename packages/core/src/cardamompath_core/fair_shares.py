"""Weighted max-min shares of scarce capacity.

Answers loads in which several groups of callers ask together for more than
there is, and one of them for much more than its part.  Every group gets what
it asks for up to a common level; what a group leaves is borrowed by those
that ask for more, and returned as soon as it asks again.  A small minimum
for each group holds against groups of higher priority, so that none starves.

Shares, use and demand are fractions of the capacity.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    "Balance",
    "LargeSize",
    "TOLERANCE",
    "Usage",
    "balance",
    "fill_level",
    "is_at_share",
    "minimum_share",
    "rank",
]

USE_TIME = 0.3
"""Time constant of the average use in seconds.  Borrowed capacity has to be
returned within a second, which is three time constants; runs of most batches
end within one."""
TOLERANCE = 1.25
"""Multiple of its share that a group may use before others come first.  The
use of groups that ask for the same varies by about a quarter with their
bursts; without it the order by the time left is lost for nothing."""
MIN_WEIGHT = 1e-6
"""Weight that counts in place of 0, for groups that only borrow."""
NEGLIGIBLE_USE = 1e-4
"""Average use below which an idle group is forgotten."""
LARGE_SHARE = 0.1
"""Share of the batches of a route that count as its largest ones."""
QUANTILE_STEP = 0.2
"""Step of the quantile of sizes, in units of the natural logarithm.  Sizes
spread by about 0.6, so that the error is less than a fifth of the spread and
some ten batches are enough to find it."""
GUARANTEED = -math.inf
"""Priority of a batch within the minimum of its group."""


class Balance(NamedTuple):
    """What a group uses, compared with its part."""

    borrowed: float
    """Use above its part."""
    lent: float
    """What it leaves of its part to others."""


def is_at_share(use: float, share: float) -> bool:
    """Return whether a group has no share left."""
    return use >= share


def balance(use: float, demand: float, part: float) -> Balance:
    """Return what a group borrows and lends.

    Parameters
    ----------
    use, demand : float
        What it has at present, and what it could use at present.
    part : float
        What it would have if every group asked for more than there is.
    """
    return Balance(max(0.0, use - part), max(0.0, part - max(use, demand)))


def fill_level(
    demands: Mapping[Hashable, float],
    weights: Mapping[Hashable, float],
    capacity: float,
) -> float:
    """Return the level up to which demands are met, for a weight of 1.

    A group of weight w gets its demand, but no more than w times the level.

    Parameters
    ----------
    demands : mapping
        What each group could use.
    weights : mapping
        Weight of each group; 1 for those without an entry.
    capacity : float
        What there is to divide.

    Returns
    -------
    float
        Infinity if there is enough for all.
    """
    weighted = sorted(
        (demand / weight, demand, weight)
        for demand, weight in (
            (demand, max(weights.get(group, 1.0), MIN_WEIGHT))
            for group, demand in demands.items()
        )
    )
    left = capacity
    weight_left = sum(weight for _, _, weight in weighted)
    for relative, demand, weight in weighted:
        level = left / weight_left
        if relative > level:
            return max(0.0, level)
        left -= demand
        weight_left -= weight
    return math.inf


def minimum_share(least_share: float, group_count: int) -> float:
    """Return the minimum of each of a number of groups of one kind.

    Together they have no more than all of the capacity.
    """
    return min(least_share, 1.0 / max(1, group_count))


def rank(
    key: tuple[int, int, float], is_guaranteed: bool, excess: int
) -> tuple[int, float, int, float]:
    """Return the sort key of a batch under shares.

    Batches with started tasks stay ahead of all others, and batches that can
    only be late stay behind all others: neither uses shares.

    Parameters
    ----------
    key : tuple
        Its key without shares, see `batch_order.sort_key`.
    is_guaranteed : bool
        Whether it is within the minimum of one of its groups.
    excess : int
        How many of its groups have no share left.
    """
    stage, priority, latest_start = key
    if stage != 1:
        return (stage, priority, 0, latest_start)
    if is_guaranteed:
        return (stage, GUARANTEED, 0, latest_start)
    return (stage, priority, excess, latest_start)


class Usage:
    """Use of each group, at present and as a decaying average."""

    def __init__(self):
        self.in_use: Mapping[Hashable, float] = {}
        """Use since the last update."""
        self._averages: dict[Hashable, float] = {}
        self._updated_at = -math.inf

    def update(self, in_use: Mapping[Hashable, float], now: float) -> None:
        """Set the present use; what was in use until now is averaged."""
        kept = math.exp(min(0.0, (self._updated_at - now) / USE_TIME))
        averages = {}
        for group in self._averages.keys() | self.in_use.keys():
            before = self.in_use.get(group, 0.0)
            average = before + (self._averages.get(group, 0.0) - before) * kept
            if average > NEGLIGIBLE_USE or group in in_use:
                averages[group] = average
        self._averages = averages
        self._updated_at = now
        self.in_use = in_use

    def groups(self) -> Iterable[Hashable]:
        """Return the groups that use capacity or recently did."""
        return self._averages.keys() | self.in_use.keys()

    def average(self, group: Hashable) -> float:
        """Return the average use of a group at the last update."""
        return self._averages.get(group, 0.0)

    def peak(self, group: Hashable) -> float:
        """Return the greater one of the present and the average use.

        It does not fall as a run ends, and rises as one starts.
        """
        return max(self.average(group), self.in_use.get(group, 0.0))


class LargeSize:
    """Size from which a batch is one of the largest of its route."""

    def __init__(self):
        self._log_size: float | None = None

    def observe(self, size: float) -> bool:
        """Count a batch; return whether it is one of the largest so far."""
        log_size = math.log(max(size, 1e-9))
        if self._log_size is None:
            self._log_size = log_size
            return False
        is_large = log_size > self._log_size
        step = (1.0 - LARGE_SHARE) if is_large else -LARGE_SHARE
        self._log_size += QUANTILE_STEP * step
        return is_large
