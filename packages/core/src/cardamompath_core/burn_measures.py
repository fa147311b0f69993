"""Quality measures of a service, from the counts that instances keep.

The slowdown of a complete submission is the ratio of its response time
to the learned run time of its longest task.  Slowdowns are counted in
histogram buckets named by their upper bounds, so percentiles are upper
bounds too.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from cardamompath_core import burn

__all__ = [
    "Blocking",
    "Measures",
    "Minute",
    "PeakMinute",
    "Response",
    "list_minutes",
    "measure",
    "percentile",
]

MINUTE = 60.0
"""In seconds."""


class Response(NamedTuple):
    """Slowdown of submissions, and overhead of unsuccessful exchanges."""

    measured: int
    """Number of complete submissions whose slowdown is known."""
    median: float
    p99: float
    """Percentiles of the slowdown; 1 is ideal."""
    wasted_per_task: float | None
    """Exchanges that ran no task, per task that ran."""


class Minute(NamedTuple):
    """Counts of one minute over all instances."""

    age: float
    """Age of the minute in minutes."""
    counts: burn.Counts


class PeakMinute(NamedTuple):
    """Outcomes in the minute with the most submissions."""

    age: float
    """Age of the minute in minutes."""
    offered: int
    """Number of submissions that ended in it, including refused ones."""
    in_time: float
    """Share of them that completed in time."""
    refused: float
    """Share of them that was refused."""


class Blocking(NamedTuple):
    """Slowdown of short tasks in minutes with and without long tasks."""

    with_long: float | None
    without_long: float | None
    """99th percentiles; None if there are no such minutes."""


class Measures(NamedTuple):
    """Measures of one service; None where there are no counts."""

    service: str
    response: Response | None
    crest: PeakMinute | None
    blocking: Blocking | None


def measure(samples: Iterable[burn.Sample]) -> list[Measures]:
    """Compute the measures of each service."""
    groups = collections.defaultdict(list)
    for sample in samples:
        if sample.key.service:
            groups[sample.key.service].append(sample)
    return [
        Measures(name, _response(group), _peak(group), _blocking(group))
        for name, group in sorted(groups.items())
    ]


def percentile(counts: Mapping[str, int], share: float) -> float | None:
    """Return a percentile of a histogram, None if it is empty.

    Parameters
    ----------
    counts : mapping of str to int
        Number of values in each bucket, by the bucket's upper bound.
    share : float
        Share of the values, above 0 and at most 1.
    """
    rank = math.ceil(share * sum(counts.values()))
    if not rank:
        return None
    for bound in sorted(counts, key=float):
        rank -= counts[bound]
        if rank <= 0:
            break
    return float(bound)


def list_minutes(samples: Iterable[burn.Sample]) -> list[Minute]:
    """Return the counts of each minute over all instances, oldest first."""
    groups = _by_minute(samples)
    return [
        Minute(age, burn.sum_counts(group))
        for age, group in sorted(groups.items(), reverse=True)
    ]


def _by_minute(samples):
    groups = collections.defaultdict(list)
    for sample in samples:
        if sample.span == MINUTE:
            groups[sample.age // MINUTE].append(sample)
    return groups


def _sum_histograms(samples, *names):
    counts = collections.Counter()
    for sample in samples:
        for name in names:
            counts.update(sample.series.get(name, {}))
    return counts


def _response(samples):
    slowdowns = _sum_histograms(samples, "short", "long")
    if not slowdowns:
        return None
    tasks = sum(sample.series.get("tasks", 0) for sample in samples)
    wasted = sum(sample.series.get("wasted", 0) for sample in samples)
    return Response(
        sum(slowdowns.values()),
        percentile(slowdowns, 0.5),
        percentile(slowdowns, 0.99),
        wasted / tasks if tasks else None,
    )


def _peak(samples):
    minutes = list_minutes(samples)
    if not minutes:
        return None
    return max((_rate_minute(minute) for minute in minutes), key=_severity)


def _rate_minute(minute):
    counts = minute.counts
    offered = max(1, counts.total + counts.refused)
    return PeakMinute(
        minute.age, offered, counts.good / offered, counts.refused / offered
    )


def _severity(minute):
    return minute.offered, -minute.in_time


def _blocking(samples):
    minutes = _by_minute(samples).values()
    with_long = _sum_short(group for group in minutes if _has_long(group))
    without = _sum_short(group for group in minutes if not _has_long(group))
    if not with_long and not without:
        return None
    return Blocking(percentile(with_long, 0.99), percentile(without, 0.99))


def _has_long(samples):
    return any(sample.series.get("long") for sample in samples)


def _sum_short(minutes):
    return _sum_histograms(
        (sample for minute in minutes for sample in minute), "short"
    )
