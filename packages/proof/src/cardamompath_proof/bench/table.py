"""Table of the measures, their targets and the figures of each policy."""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from cardamompath_proof.bench import measures

__all__ = [
    "Row",
    "format_rows",
    "make_rows",
]

OURS = "this"
"""Column of the system itself."""
ORACLE = "oracle"
"""Column of the reference scheduler."""

Runs = Mapping[str, Mapping[str, measures.Run]]
"""Runs by workload, then by policy."""


class Row(NamedTuple):
    """One measure of one workload."""

    workload: str
    measure: str
    figures: dict[str, float]
    """By policy."""
    target: str = ""
    met: bool | None = None
    """Whether the system itself meets the target; None without a target."""


def make_rows(runs: Runs) -> list[Row]:
    """Return all rows that can be made from the workloads in `runs`."""
    rows = {}
    for name, by_policy in runs.items():
        new_rows = _common_rows(name, by_policy)
        for make_extra in _EXTRA_ROWS.get(name, ()):
            new_rows += make_extra(name, by_policy, runs)
        # A row with a target replaces the common row without one.
        rows.update(((row.workload, row.measure), row) for row in new_rows)
    return list(rows.values())


def _measure_each(by_policy, measure: Callable):
    return {policy: measure(run) for policy, run in by_policy.items()}


def _common_rows(name, by_policy):
    rows = []
    if (
        max(len(arrival.tasks) for arrival in _first_run(by_policy).arrivals)
        == 1
    ):
        for share in (0.5, 0.99, 0.999):
            rows.append(_slowdown_row(name, by_policy, share))
    rows.append(
        Row(
            name,
            "mean response s",
            _measure_each(
                by_policy, lambda run: _mean(measures.response_times(run))
            ),
        )
    )
    rows.append(
        Row(
            name,
            "p99 response s",
            _measure_each(
                by_policy,
                lambda run: measures.percentile(
                    measures.response_times(run), 0.99
                ),
            ),
        )
    )
    rows.append(
        Row(
            name,
            "not complete",
            _measure_each(
                by_policy,
                lambda run: measures.failed_share(
                    run, run.workload.warm_up, run.workload.seconds
                ),
            ),
        )
    )
    return rows


def _first_run(by_policy):
    return next(iter(by_policy.values()))


def _mean(values):
    return sum(values) / len(values) if values else math.nan


def _slowdown_row(name, by_policy, share):
    figures = _measure_each(
        by_policy,
        lambda run: measures.percentile(measures.slowdowns(run), share),
    )
    return Row(name, f"p{100 * share:g} slowdown", figures)


def _with_target(row, bound, at_least=False):
    figure = row.figures.get(OURS, math.nan)
    met = figure >= bound if at_least else figure <= bound
    sign = ">=" if at_least else "<="
    return row._replace(target=f"{sign} {bound:g}", met=met)


def _steady_rows(name, by_policy, runs):
    rows = [
        _with_target(_slowdown_row(name, by_policy, 0.5), 1.15),
        _with_target(_slowdown_row(name, by_policy, 0.99), 3.0),
    ]
    hints = _measure_each(
        by_policy,
        lambda run: run.message_counts["hints"] / len(run.arrivals),
    )
    wasted_per_task = Row(
        name,
        "wasted per task",
        _measure_each(by_policy, measures.wasted_per_task),
    )
    rows.append(_with_target(wasted_per_task, 0.02))
    rows.append(Row(name, "hints per task", hints))
    rows.append(
        Row(name, "decisions/s core", _measure_each(by_policy, _decision_rate))
    )
    return rows


def _decision_rate(run):
    if not run.cpu:
        return math.nan
    return sum(len(arrival.tasks) for arrival in run.arrivals) / run.cpu


def _ratio_to_oracle(name, by_policy, label, measure, bound):
    reference = measure(by_policy[ORACLE]) if ORACLE in by_policy else math.nan
    figures = _measure_each(by_policy, lambda run: measure(run) / reference)
    return _with_target(Row(name, f"{label} / oracle", figures), bound)


def _speeds_rows(name, by_policy, runs):
    return [
        _ratio_to_oracle(
            name,
            by_policy,
            "mean response",
            lambda run: _mean(measures.response_times(run)),
            1.25,
        ),
        _ratio_to_oracle(
            name,
            by_policy,
            "p99 response",
            lambda run: measures.percentile(
                measures.response_times(run), 0.99
            ),
            1.25,
        ),
    ]


def _jobs_rows(name, by_policy, runs):
    return [
        _ratio_to_oracle(
            name,
            by_policy,
            "median job time",
            lambda run: measures.percentile(measures.response_times(run), 0.5),
            1.2,
        )
    ]


def _swing_rows(name, by_policy, runs):
    share = _measure_each(by_policy, measures.in_time_share)
    normal = _measure_each(by_policy, measures.recovery_time)
    return [
        _with_target(Row(name, "crest share", share), 0.98, at_least=True),
        _with_target(Row(name, "s until normal", normal), 2.0),
    ]


def _head_of_line_rows(name, by_policy, runs):
    short_only = runs.get("short only")
    if short_only is None:
        return []

    def measure(policy):
        with_long = measures.slowdowns(by_policy[policy], "short")
        without = measures.slowdowns(short_only[policy], "short")
        return measures.percentile(with_long, 0.99) / measures.percentile(
            without, 0.99
        )

    figures = {policy: measure(policy) for policy in by_policy}
    row = Row(name, "p99 short with/without", figures)
    return [_with_target(row, 1.5)]


def _failing_rows(name, by_policy, runs):
    at = _first_run(by_policy).workload.faults[0].at
    first = _measure_each(
        by_policy, lambda run: measures.failed_share(run, at, at + 1)
    )
    after = _measure_each(
        by_policy,
        lambda run: measures.failed_share(run, at + 1, run.workload.seconds),
    )
    return [
        _with_target(Row(name, "lost in 1st second", first), 0.02),
        _with_target(Row(name, "lost after", after), 0.001),
    ]


def _decision_rate_rows(name, by_policy, runs):
    return [
        Row(name, "decisions/s core", _measure_each(by_policy, _decision_rate))
    ]


def _cancel_rows(name, by_policy, runs):
    return [
        Row(
            name,
            "us per task",
            _measure_each(by_policy, lambda run: 1e6 / _decision_rate(run)),
        )
    ]


_EXTRA_ROWS = {
    "steady": (_steady_rows,),
    "speeds 1:4": (_speeds_rows,),
    "jobs of 200": (_jobs_rows,),
    "swing on one": (_swing_rows,),
    "swing on all": (_swing_rows,),
    "short and long": (_head_of_line_rows,),
    "one fails all": (_failing_rows,),
    "240 servers": (_decision_rate_rows,),
    "cancel 5000": (_cancel_rows,),
}


def format_rows(rows: list[Row], policies: list[str]) -> str:
    """Return the rows as a text table with a header."""
    head = ["workload", "measure", "target", *policies, ""]
    lines = [head]
    for row in rows:
        figures = [_format_figure(row.figures.get(name)) for name in policies]
        verdict = {None: "", True: "met", False: "MISSED"}[row.met]
        lines.append(
            [row.workload, row.measure, row.target, *figures, verdict]
        )
    widths = [max(len(line[at]) for line in lines) for at in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in lines
    )


def _format_figure(figure):
    if figure is None or math.isnan(figure):
        return "-"
    return f"{figure:.4g}"
