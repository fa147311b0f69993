"""Burn rates: how fast services spend their error budgets.

The counts come from one or more instances.  Each instance has its own
clock, so the counts are merged by their age.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

__all__ = [
    "PERIOD",
    "WINDOWS",
    "Counts",
    "InstanceCounts",
    "Key",
    "Row",
    "Sample",
    "Window",
    "assess",
    "collect_samples",
    "sum_counts",
]

WINDOWS = (
    ("5m", 300.0),
    ("1h", 3600.0),
    ("6h", 21600.0),
    ("3d", 259200.0),
)
"""Names and lengths in seconds of the windows, the shortest first."""

PERIOD = 259200.0
"""Period of an error budget in seconds."""

CURRENT_WINDOW = "1h"
"""Window whose burn rate counts as the current one."""


class InstanceCounts(NamedTuple):
    """Counts of one instance."""

    domain: str
    now: float
    """Clock of the instance in seconds when it reported the counts."""
    buckets: Sequence[Mapping[str, Any]]
    """Buckets as in the instance's JSON report: begin, span and series."""


class Key(NamedTuple):
    """Service, team and failure domain of a row; empty stands for all."""

    service: str
    team: str = ""
    domain: str = ""


class Sample(NamedTuple):
    """Counts of one series in one bucket."""

    key: Key
    age: float
    """Seconds since the start of the bucket."""
    span: float
    """Length of the bucket in seconds."""
    series: Mapping[str, Any]


class Counts(NamedTuple):
    """Numbers of ended submissions; refusals are neither good nor bad."""

    good: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0

    @property
    def bad(self) -> int:
        """Number of accepted submissions not answered in time."""
        return self.late + self.failed

    @property
    def total(self) -> int:
        """Number of accepted submissions that ended."""
        return self.good + self.bad


class Window(NamedTuple):
    """Counts and burn rate of one time window."""

    name: str
    covered: float
    """Seconds of the window for which there are counts."""
    counts: Counts
    burn: float | None
    """Ratio of the error share to the allowed one; None without an
    objective or submissions."""


class Row(NamedTuple):
    """Burn of a service, or of one team or failure domain of it."""

    key: Key
    objective: float | None
    """Target share answered in time; None for an unknown service."""
    windows: tuple[Window, ...]
    spent: float | None
    """Spent share of the period's error budget; above 1 if overspent."""
    left: float | None
    """Seconds until the budget is spent at the current rate; None if it
    is not being spent."""


def collect_samples(instances: Iterable[InstanceCounts]) -> list[Sample]:
    """Return the series of all instances as one list."""
    return [
        Sample(
            Key(series["service"], series["team"], instance.domain),
            max(0.0, instance.now - bucket["begin"]),
            bucket["span"],
            series,
        )
        for instance in instances
        for bucket in instance.buckets
        for series in bucket["series"]
    ]


def assess(
    samples: Iterable[Sample], objectives: Mapping[str, float]
) -> list[Row]:
    """Compute the burn by service, team and failure domain.

    Parameters
    ----------
    samples : iterable of Sample
        The counts.
    objectives : mapping of str to float
        Objective of each service, below 1.

    Returns
    -------
    list of Row
        Rows for each service as a whole, its teams and failure domains.
    """
    samples = list(samples)
    oldest = max((sample.age for sample in samples), default=0.0)
    groups = collections.defaultdict(list)
    for sample in samples:
        service, team, domain = sample.key
        groups[Key(service)].append(sample)
        groups[Key(service, domain=domain)].append(sample)
        if team:
            groups[Key(service, team)].append(sample)
    return [
        _row(key, group, oldest, objectives.get(key.service))
        for key, group in sorted(groups.items())
    ]


def sum_counts(samples: Iterable[Sample]) -> Counts:
    """Return the sum of the counts of samples."""
    good = late = failed = refused = 0
    for sample in samples:
        good += sample.series["complete"]
        late += sample.series["late"]
        failed += sample.series["failed"]
        refused += sample.series["refused"]
    return Counts(good, late, failed, refused)


def _row(key, samples, oldest, objective):
    windows = tuple(
        _window(name, length, samples, oldest, objective)
        for name, length in WINDOWS
    )
    burns = {window.name: window.burn for window in windows}
    longest = windows[-1]
    spent = None
    if longest.burn is not None:
        spent = longest.burn * longest.covered / PERIOD
    left = _seconds_left(spent, burns[CURRENT_WINDOW])
    return Row(key, objective, windows, spent, left)


def _window(name, length, samples, oldest, objective):
    counts = sum_counts(sample for sample in samples if sample.age <= length)
    covered = min(length, oldest)
    return Window(name, covered, counts, _burn_rate(counts, objective))


def _burn_rate(counts, objective):
    if objective is None or not counts.total:
        return None
    return counts.bad / counts.total / (1.0 - objective)


def _seconds_left(spent, burn):
    if spent is None:
        return None
    if spent >= 1.0:
        return 0.0
    if not burn:
        return None
    return (1.0 - spent) * PERIOD / burn
