"""Metrics of an instance, derived from its decisions.

Decisions are counted before they are logged, including those that the log
drops.  The exporter is imported at the first scrape, so that it does not
delay the start of the instance.
"""

from __future__ import annotations

import bisect
import collections
from collections.abc import Callable

from cardamompathd import pool_messages

__all__ = [
    "DecisionCounts",
    "make_scrape",
]

BOUNDS_MS = (
    5, 10, 20, 50, 100, 150, 200, 300, 500, 750, 1000, 1500, 2500, 5000,
    10000,
)  # fmt: skip
"""Upper bounds of the buckets of response times, in milliseconds."""
MAX_SERIES = 500
"""Limit on the pairs of part and event that are counted."""

ANSWERED = "answered"
EVACUATIONS = {"evacuation in force": 1, "evacuation ended": 0}
"""Events that tell of evacuated failure domains, and the value of the metric
that they set for each of these."""
CANCELLATIONS = {
    "cancellations appended": (("count", "appended"),),
    "cancellations not appended": (("count", "not_appended"),),
    "cancellations read": (
        ("count", "read"),
        ("expired", "expired"),
        ("unreadable", "unreadable"),
    ),
}
"""Events that tell of the log of cancellations; for each, the fields with
numbers of records and the label under which these are counted."""


class DecisionCounts:
    """Counts of decisions, and a histogram of response times.

    One thread counts.  A scrape on another thread reads copies, each made in
    one step of the interpreter.
    """

    def __init__(self):
        self._event_counts: collections.Counter = collections.Counter()
        self._bucket_counts: dict[str, list[int]] = {}
        self._time_sums: collections.Counter = collections.Counter()
        self._evacuations: dict[str, int] = {}
        self._cancellations: collections.Counter = collections.Counter()

    def count(self, decision: pool_messages.Decision) -> None:
        """Count a decision."""
        key = (decision.part, decision.event)
        if key in self._event_counts or len(self._event_counts) < MAX_SERIES:
            self._event_counts[key] += 1
        if decision.event in EVACUATIONS:
            self._set_evacuations(decision)
        for field, result in CANCELLATIONS.get(decision.event, ()):
            self._cancellations[result] += decision.fields[field]
        if decision.event == ANSWERED:
            self._count_response_time(
                decision.fields["state"], decision.fields["age_ms"]
            )

    def _count_response_time(self, state, age_ms):
        buckets = self._bucket_counts.setdefault(
            state, [0] * (len(BOUNDS_MS) + 1)
        )
        buckets[bisect.bisect_left(BOUNDS_MS, age_ms)] += 1
        self._time_sums[state] += age_ms / 1000.0

    def _set_evacuations(self, decision):
        for domain in decision.fields["domains"]:
            if (
                domain in self._evacuations
                or len(self._evacuations) < MAX_SERIES
            ):
                self._evacuations[domain] = EVACUATIONS[decision.event]

    def evacuations(self) -> list[tuple[float, dict[str, str]]]:
        """Return 1 for each evacuated domain, 0 for each former one."""
        return [
            (value, {"domain": domain})
            for domain, value in self._evacuations.copy().items()
        ]

    def cancellations(self) -> list[tuple[float, dict[str, str]]]:
        """Return the records of cancellations, by what became of them."""
        return [
            (count, {"result": result})
            for result, count in self._cancellations.copy().items()
        ]

    def event_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the count of each decision with its labels."""
        return [
            (count, {"part": part, "event": event})
            for (part, event), count in self._event_counts.copy().items()
        ]

    def bucket_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the cumulative counts of the buckets for each outcome."""
        observations = []
        for state, buckets in self._bucket_counts.copy().items():
            total = 0
            for bound, count in zip(BOUNDS_MS, buckets, strict=False):
                total += count
                le = str(bound / 1000.0)
                observations.append((total, {"state": state, "le": le}))
            observations.append((sum(buckets), {"state": state, "le": "+Inf"}))
        return observations

    def time_sums(self) -> list[tuple[float, dict[str, str]]]:
        """Return the sum of the response times in seconds for each outcome."""
        return [
            (total, {"state": state})
            for state, total in self._time_sums.copy().items()
        ]


def make_scrape(counts: DecisionCounts) -> Callable[[], str]:
    """Make the function that returns the metrics page."""
    exporters: list = []

    def scrape() -> str:
        if not exporters:
            # Importing the exporter takes a fifth of a second.
            from cardamompathd.telemetry import metrics

            exporters.append(
                metrics.start_scrape(_make_instruments(metrics, counts))
            )
        return exporters[0].scrape()

    return scrape


def _make_instruments(metrics, counts):
    return (
        metrics.Instrument(
            "counter",
            "cardamompath.decisions",
            "",
            "Decisions, by part and event.",
            lambda _: counts.event_counts(),
        ),
        metrics.Instrument(
            "counter",
            "cardamompath.answer_time.bucket",
            "",
            "Answers that took at most `le` seconds, by outcome.",
            lambda _: counts.bucket_counts(),
        ),
        metrics.Instrument(
            "counter",
            "cardamompath.answer_time.sum",
            "s",
            "Sum of the times of answers, by outcome.",
            lambda _: counts.time_sums(),
        ),
        metrics.Instrument(
            "gauge",
            "cardamompath.evacuated",
            "",
            "Whether a failure domain is evacuated, by domain.",
            lambda _: counts.evacuations(),
        ),
        metrics.Instrument(
            "counter",
            "cardamompath.cancellation_records",
            "",
            "Records of cancellations in the store, by result.",
            lambda _: counts.cancellations(),
        ),
        *metrics.PROCESS_INSTRUMENTS,
    )
