"""The three measures of service, as far as instances know them.

The response time of a complete submission is compared with the learned
time of its longest task; their ratio is its slowdown.  Slowdowns are
kept by the upper bound of their class, and so are the percentiles.
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


class Response(NamedTuple):
    """Response time against the learned ideal, and wasted messages."""

    measured: int
    """Complete submissions whose slowdown is known."""
    median: float
    p99: float
    """Slowdowns; 1 is the ideal."""
    wasted_per_task: float | None
    """Exchanges that ran nothing, by tasks that ran."""


class Minute(NamedTuple):
    """The counts of one minute over all instances."""

    age: float
    """Minutes before the instances were asked."""
    counts: burn.Counts


class PeakMinute(NamedTuple):
    """Service in the minute with the most submissions."""

    age: float
    """Minutes before the instances were asked."""
    offered: int
    """Submissions that ended in it, refused ones among them."""
    in_time: float
    """Share of them that was complete in time."""
    refused: float
    """Share of them that was refused as not run."""


class Blocking(NamedTuple):
    """Slowdown of short work, by whether long work ended beside it."""

    with_long: float | None
    without_long: float | None
    """99th percentiles; none without such minutes."""


class Measures(NamedTuple):
    """The measures of one service; none where nothing is collected."""

    service: str
    response: Response | None
    crest: PeakMinute | None
    blocking: Blocking | None


def measure(samples: Iterable[burn.Sample]) -> list[Measures]:
    """Work out the three measures of each service."""
    groups = collections.defaultdict(list)
    for one in samples:
        if one.key.service:
            groups[one.key.service].append(one)
    return [
        Measures(name, _response(group), _crest(group), _blocking(group))
        for name, group in sorted(groups.items())
    ]


def percentile(counts: Mapping[str, int], share: float) -> float | None:
    """Return the bound below which a share of the counted values lies.

    Parameters
    ----------
    counts : mapping of str to int
        Values by upper bound of their class.
    share : float
        Above 0 and at most 1.
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
    """Add up the minutes of all instances, the oldest first."""
    groups = _by_minute(samples)
    return [
        Minute(age, burn.sum_counts(group))
        for age, group in sorted(groups.items(), reverse=True)
    ]


def _by_minute(samples):
    groups = collections.defaultdict(list)
    for one in samples:
        if one.span == MINUTE:
            groups[one.age // MINUTE].append(one)
    return groups


def _add(samples, *names):
    counts = collections.Counter()
    for one in samples:
        for name in names:
            counts.update(one.series.get(name, {}))
    return counts


def _response(samples):
    slowdowns = _add(samples, "short", "long")
    if not slowdowns:
        return None
    tasks = sum(one.series.get("tasks", 0) for one in samples)
    wasted = sum(one.series.get("wasted", 0) for one in samples)
    return Response(
        sum(slowdowns.values()),
        percentile(slowdowns, 0.5),
        percentile(slowdowns, 0.99),
        wasted / tasks if tasks else None,
    )


def _crest(samples):
    minutes = list_minutes(samples)
    if not minutes:
        return None
    return max((_crest_of(one) for one in minutes), key=_severity)


def _crest_of(minute):
    counts = minute.counts
    offered = max(1, counts.total + counts.refused)
    return PeakMinute(
        minute.age, offered, counts.good / offered, counts.refused / offered
    )


def _severity(crest):
    return crest.offered, -crest.in_time


def _blocking(samples):
    minutes = _by_minute(samples).values()
    with_long = _add_minutes(one for one in minutes if _has_long(one))
    without = _add_minutes(one for one in minutes if not _has_long(one))
    if not with_long and not without:
        return None
    return Blocking(percentile(with_long, 0.99), percentile(without, 0.99))


def _has_long(samples):
    return any(one.series.get("long") for one in samples)


def _add_minutes(minutes):
    return _add((one for minute in minutes for one in minute), "short")
