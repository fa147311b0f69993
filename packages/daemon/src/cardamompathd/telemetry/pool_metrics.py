"""Counters and response times of an instance, from its decisions.

Decisions are counted as they pass to the log, also those that the log
leaves out.  The exporter is loaded at the first scrape, so that it costs
nothing while the instance starts.
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
"""Upper bounds of the classes of response times, in milliseconds."""
MAX_SERIES = 500
"""Pairs of part and event that are told apart."""

ANSWERED = "answered"


class DecisionCounts:
    """How often each decision was taken, and how long answers took.

    One task counts; a scrape reads copies, each made in one step of the
    interpreter.
    """

    def __init__(self):
        self._events: collections.Counter = collections.Counter()
        self._times: dict[str, list[int]] = {}
        self._seconds: collections.Counter = collections.Counter()

    def count(self, decision: pool_messages.Decision) -> None:
        """Count a decision."""
        key = (decision.part, decision.event)
        if key in self._events or len(self._events) < MAX_SERIES:
            self._events[key] += 1
        if decision.event == ANSWERED:
            self._take_time(
                decision.fields["state"], decision.fields["age_ms"]
            )

    def _take_time(self, state, age):
        classes = self._times.setdefault(state, [0] * (len(BOUNDS_MS) + 1))
        classes[bisect.bisect_left(BOUNDS_MS, age)] += 1
        self._seconds[state] += age / 1000.0

    def event_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return each count with its labels."""
        return [
            (count, {"part": part, "event": event})
            for (part, event), count in self._events.copy().items()
        ]

    def bucket_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return how many answers took at most each bound."""
        found = []
        for state, classes in self._times.copy().items():
            total = 0
            for bound, count in zip(BOUNDS_MS, classes, strict=False):
                total += count
                le = str(bound / 1000.0)
                found.append((total, {"state": state, "le": le}))
            found.append((sum(classes), {"state": state, "le": "+Inf"}))
        return found

    def time_sums(self) -> list[tuple[float, dict[str, str]]]:
        """Return the sum of response times in seconds, by outcome."""
        return [
            (total, {"state": state})
            for state, total in self._seconds.copy().items()
        ]


def make_scrape(counts: DecisionCounts) -> Callable[[], str]:
    """Make the function that returns the page for a scrape."""
    exporters: list = []

    def scrape() -> str:
        if not exporters:
            # Loading the exporter takes a fifth of a second.
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
        *metrics.PROCESS_INSTRUMENTS,
    )
