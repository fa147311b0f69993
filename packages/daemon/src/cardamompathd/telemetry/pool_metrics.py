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

MAX_SHARE_GROUPS = 200
"""Limit on the groups whose shares are shown; a planner has at most 99 at a
service."""

ANSWERED = "answered"
LIST_SOURCE = "executor list"
"""Event that tells by which reading of the executors tasks are started."""
EVACUATIONS = {"evacuation in force": 1, "evacuation ended": 0}
"""Events that tell of evacuated failure domains, and the value of the metric
that they set for each of these."""
SHARES = "shares"
PLANNING_ENDED = "ended to plan"
SHARE_FIGURES = ("share", "use", "borrowed", "lent")
"""What a report tells of each group, in percent of the capacity."""
FORECASTS_COMPARED = "forecasts compared"
PLANNER_CHOSEN = "planner chosen"
REPORT_DROPPED = "room report dropped"
"""Events of which fields are counted as well."""
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
        self._shares: dict[str, dict[str, list[float]]] = {}
        """Figures of the groups by service, as reported last."""
        self._list_source = ""
        self._error_buckets = [0] * (len(BOUNDS_MS) + 1)
        self._error_sum = 0.0
        self._choice_counts: collections.Counter = collections.Counter()
        self._drop_counts: collections.Counter = collections.Counter()
        self._cancellations: collections.Counter = collections.Counter()

    def count(self, decision: pool_messages.Decision) -> None:
        """Count a decision."""
        key = (decision.part, decision.event)
        if key in self._event_counts or len(self._event_counts) < MAX_SERIES:
            self._event_counts[key] += 1
        if decision.event in EVACUATIONS:
            self._set_evacuations(decision)
        if decision.event == LIST_SOURCE:
            self._list_source = decision.fields["source"]
        for field, result in CANCELLATIONS.get(decision.event, ()):
            self._cancellations[result] += decision.fields[field]
        if decision.event == ANSWERED:
            self._count_response_time(
                decision.fields["state"], decision.fields["age_ms"]
            )
        elif decision.event == SHARES:
            self._shares[decision.fields["service"]] = decision.fields[
                "groups"
            ]
        elif decision.event == PLANNING_ENDED:
            self._shares.clear()
        elif decision.event == FORECASTS_COMPARED:
            for error_ms in decision.fields["errors_ms"]:
                size_ms = abs(error_ms)
                bucket = bisect.bisect_left(BOUNDS_MS, size_ms)
                self._error_buckets[bucket] += 1
                self._error_sum += size_ms / 1000.0
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

    def list_sources(self) -> list[tuple[float, dict[str, str]]]:
        """Return 1 for the reading of the executors that is in use.

        It is empty as long as this was always an own one.
        """
        source = self._list_source
        return [(1.0, {"source": source})] if source else []

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
            observations += _accumulate(buckets, {"state": state})
        return observations

    def share_figures(self) -> list[tuple[float, dict[str, str]]]:
        """Return the shares of the groups in percent of the capacity.

        The number of groups is limited.
        """
        groups = [
            (service, group, figures)
            for service, groups in self._shares.copy().items()
            for group, figures in groups.items()
        ]
        return [
            (value, {"service": service, "group": group, "figure": figure})
            for service, group, figures in groups[:MAX_SHARE_GROUPS]
            for figure, value in zip(SHARE_FIGURES, figures, strict=True)
        ]

    def error_counts(self) -> list[tuple[float, dict[str, str]]]:
        """Return the cumulative counts of forecast errors by their size."""
        return _accumulate(self._error_buckets.copy(), {})

    def error_sum(self) -> list[tuple[float, dict[str, str]]]:
        """Return the sum of the sizes of forecast errors in seconds."""
        return [(self._error_sum, {})]

    def time_sums(self) -> list[tuple[float, dict[str, str]]]:
        """Return the sum of the response times in seconds for each outcome."""
        return [
            (total, {"state": state})
            for state, total in self._time_sums.copy().items()
        ]


def _accumulate(buckets, labels):
    """Return the cumulative counts of buckets, with their upper bounds."""
    total = 0
    observations = []
    for bound, count in zip(BOUNDS_MS, buckets, strict=False):
        total += count
        le = str(bound / 1000.0)
        observations.append((total, {**labels, "le": le}))
    observations.append((sum(buckets), {**labels, "le": "+Inf"}))
    return observations


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
        metrics.Instrument(
            "gauge",
            "cardamompath.evacuated",
            "",
            "Whether a failure domain is evacuated, by domain.",
            lambda _: counts.evacuations(),
        ),
        metrics.Instrument(
            "gauge",
            "cardamompath.shares",
            "%",
            "Share, use, borrowed and lent of a group while capacity is "
            "scarce, in percent of the capacity of the service.",
            lambda _: counts.share_figures(),
        ),
        metrics.Instrument(
            "gauge",
            "cardamompath.executor_list",
            "",
            "By which reading of the executors tasks are started, by source.",
            lambda _: counts.list_sources(),
        ),
        metrics.Instrument(
            "counter",
            "cardamompath.forecast_error.bucket",
            "",
            "Forecast starts that were wrong by at most `le` seconds.",
            lambda _: counts.error_counts(),
        ),
        metrics.Instrument(
            "counter",
            "cardamompath.forecast_error.sum",
            "s",
            "Sum of the sizes of the errors of forecast starts.",
            lambda _: counts.error_sum(),
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
