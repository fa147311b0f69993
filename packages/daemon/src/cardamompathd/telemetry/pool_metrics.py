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
PLANNER_CHOSEN = "planner chosen"
REPORT_DROPPED = "room report dropped"
"""Events of which fields are counted as well."""


class DecisionCounts:
    """Counts of decisions, and a histogram of response times.

    One thread counts.  A scrape on another thread reads copies, each made in
    one step of the interpreter.
    """

    def __init__(self):
        self._event_counts: collections.Counter = collections.Counter()
        self._bucket_counts: dict[str, list[int]] = {}
        self._time_sums: collections.Counter = collections.Counter()
        self._choice_counts: collections.Counter = collections.Counter()
        self._drop_counts: collections.Counter = collections.Counter()

    def count(self, decision: pool_messages.Decision) -> None:
        """Count a decision."""
        key = (decision.part, decision.event)
        if key in self._event_counts or len(self._event_counts) < MAX_SERIES:
            self._event_counts[key] += 1
        if decision.event == ANSWERED:
            self._count_response_time(
                decision.fields["state"], decision.fields["age_ms"]
            )
        elif decision.event == PLANNER_CHOSEN:
            self._choice_counts[decision.fields["why"]] += 1
        elif decision.event == REPORT_DROPPED:
            self._drop_counts[decision.fields["reason"]] += decision.fields[
                "count"
            ]

    def _count_response_time(self, state, age_ms):
        buckets = self._bucket_counts.setdefault(
            state, [0] * (len(BOUNDS_MS) + 1)
        )
        buckets[bisect.bisect_left(BOUNDS_MS, age_ms)] += 1
        self._time_sums[state] += age_ms / 1000.0

    def event_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the count of each decision with its labels."""
        return [
            (count, {"part": part, "event": event})
            for (part, event), count in self._event_counts.copy().items()
        ]

    def choice_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the count of the choices of a planner for each reason."""
        return [
            (count, {"why": why})
            for why, count in self._choice_counts.copy().items()
        ]

    def drop_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the count of dropped reports for each reason."""
        return [
            (count, {"reason": reason})
            for reason, count in self._drop_counts.copy().items()
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
            "cardamompath.planner_choices",
            "",
            "Choices of a planner by its reported capacity, by reason.",
            lambda _: counts.choice_counts(),
        ),
        metrics.Instrument(
            "counter",
            "cardamompath.room_reports_dropped",
            "",
            "Dropped reports of the capacity of planners, by reason.",
            lambda _: counts.drop_counts(),
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
        *metrics.PROCESS_INSTRUMENTS,
    )
