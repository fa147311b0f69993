"""Service-level burn: error budgets and how fast they are spent.

The counts come from the operators' pages of one or more instances, each
with a clock of its own; counts are therefore merged by their age.
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
"""Names and lengths in seconds of the windows, short ones first."""

PERIOD = 259200.0
"""Seconds that an error budget is for."""

PRESENT = "1h"
"""The window whose burn rate is taken for the present one."""


class InstanceCounts(NamedTuple):
    """The counts of one instance."""

    domain: str
    now: float
    """Seconds on the clock of the instance when it was asked."""
    buckets: Sequence[Mapping[str, Any]]


class Key(NamedTuple):
    """What a row is about; empty names stand for all."""

    service: str
    team: str = ""
    domain: str = ""


class Sample(NamedTuple):
    """The counts of one series with its age."""

    key: Key
    age: float
    """Seconds since the bucket began."""
    span: float
    series: Mapping[str, Any]


class Counts(NamedTuple):
    """Ended submissions; those refused are neither good nor bad."""

    good: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0

    @property
    def bad(self) -> int:
        """Accepted submissions that were not answered in time."""
        return self.late + self.failed

    @property
    def total(self) -> int:
        """Accepted submissions that ended."""
        return self.good + self.bad


class Window(NamedTuple):
    """What happened in one window of time."""

    name: str
    covered: float
    """Seconds of the window for which counts are kept."""
    counts: Counts
    burn: float | None
    """Error share over the share allowed; none without an objective or
    submissions."""


class Row(NamedTuple):
    """The burn of a service, or of one team or failure domain of it."""

    key: Key
    objective: float | None
    """Share to be answered in time; none for an unknown service."""
    windows: tuple[Window, ...]
    spent: float | None
    """Share of the period's error budget that is spent; above 1 it is
    overspent."""
    left: float | None
    """Seconds until the budget is gone at the present rate; none when
    it is not being spent."""


def collect_samples(pages: Iterable[InstanceCounts]) -> list[Sample]:
    """Make one list of the series of all instances."""
    return [
        Sample(
            Key(series["service"], series["team"], page.domain),
            max(0.0, page.now - bucket["begin"]),
            bucket["span"],
            series,
        )
        for page in pages
        for bucket in page.buckets
        for series in bucket["series"]
    ]


def assess(
    samples: Iterable[Sample], objectives: Mapping[str, float]
) -> list[Row]:
    """Work out the burn by service, team and failure domain.

    Parameters
    ----------
    samples : iterable of Sample
        The counts.
    objectives : mapping of str to float
        Objective of each service, below 1.

    Returns
    -------
    list of Row
        For each service its whole, its teams and its failure domains.
    """
    samples = list(samples)
    oldest = max((one.age for one in samples), default=0.0)
    groups = collections.defaultdict(list)
    for one in samples:
        service, team, domain = one.key
        groups[Key(service)].append(one)
        groups[Key(service, domain=domain)].append(one)
        if team:
            groups[Key(service, team)].append(one)
    return [
        _row(key, group, oldest, objectives.get(key.service))
        for key, group in sorted(groups.items())
    ]


def sum_counts(samples: Iterable[Sample]) -> Counts:
    """Add up samples."""
    good = late = failed = refused = 0
    for one in samples:
        good += one.series["complete"]
        late += one.series["late"]
        failed += one.series["failed"]
        refused += one.series["refused"]
    return Counts(good, late, failed, refused)


def _row(key, samples, oldest, objective):
    windows = tuple(
        _window(name, length, samples, oldest, objective)
        for name, length in WINDOWS
    )
    burns = {one.name: one.burn for one in windows}
    longest = windows[-1]
    spent = None
    if longest.burn is not None:
        spent = longest.burn * longest.covered / PERIOD
    left = _left(spent, burns[PRESENT])
    return Row(key, objective, windows, spent, left)


def _window(name, length, samples, oldest, objective):
    counts = sum_counts(one for one in samples if one.age <= length)
    covered = min(length, oldest)
    return Window(name, covered, counts, _burn(counts, objective))


def _burn(counts, objective):
    if objective is None or not counts.total:
        return None
    return counts.bad / counts.total / (1.0 - objective)


def _left(spent, burn):
    if spent is None:
        return None
    if spent >= 1.0:
        return 0.0
    if not burn:
        return None
    return (1.0 - spent) * PERIOD / burn
