"""The table: each measure, its target and the figure of each policy."""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from cardamompath_proof.bench import measures

__all__ = [
    "Row",
    "format_rows",
    "rows_of",
]

OURS = "this"
BEST = "oracle"

Runs = Mapping[str, Mapping[str, measures.Run]]
"""By workload, then by policy."""


class Row(NamedTuple):
    """One measure of one workload."""

    workload: str
    measure: str
    figures: dict[str, float]
    """By policy."""
    target: str = ""
    met: bool | None = None
    """Whether this policy meets the target, None without one."""


def rows_of(runs: Runs) -> list[Row]:
    """Return all rows that the workloads in `runs` allow."""
    rows = {}
    for name, by_policy in runs.items():
        made = _common(name, by_policy)
        for make in _SPECIAL.get(name, ()):
            made += make(name, by_policy, runs)
        # A row with a target takes the place of the one without.
        rows.update(((row.workload, row.measure), row) for row in made)
    return list(rows.values())


def _each(by_policy, measure: Callable):
    return {policy: measure(run) for policy, run in by_policy.items()}


def _common(name, by_policy):
    rows = []
    if max(len(one.tasks) for one in _any(by_policy).arrivals) == 1:
        for share in (0.5, 0.99, 0.999):
            rows.append(_slowdown_row(name, by_policy, share))
    rows.append(
        Row(
            name,
            "mean response s",
            _each(by_policy, lambda run: _mean(measures.response_times(run))),
        )
    )
    rows.append(
        Row(
            name,
            "p99 response s",
            _each(
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
            _each(
                by_policy,
                lambda run: measures.failed_share(
                    run, run.load.warm_up, run.load.seconds
                ),
            ),
        )
    )
    return rows


def _any(by_policy):
    return next(iter(by_policy.values()))


def _mean(values):
    return sum(values) / len(values) if values else math.nan


def _slowdown_row(name, by_policy, share):
    figures = _each(
        by_policy,
        lambda run: measures.percentile(measures.slowdowns(run), share),
    )
    return Row(name, f"p{100 * share:g} slowdown", figures)


def _with_target(row, bound, at_least=False):
    figure = row.figures.get(OURS, math.nan)
    met = figure >= bound if at_least else figure <= bound
    sign = ">=" if at_least else "<="
    return row._replace(target=f"{sign} {bound:g}", met=met)


def _steady(name, by_policy, runs):
    rows = [
        _with_target(_slowdown_row(name, by_policy, 0.5), 1.15),
        _with_target(_slowdown_row(name, by_policy, 0.99), 3.0),
    ]
    hints = _each(
        by_policy,
        lambda run: run.waste["hints"] / len(run.arrivals),
    )
    wasted = Row(name, "wasted per task", _each(by_policy, measures.wasted))
    rows.append(_with_target(wasted, 0.02))
    rows.append(Row(name, "hints per task", hints))
    rows.append(Row(name, "decisions/s core", _each(by_policy, _pace)))
    return rows


def _pace(run):
    if not run.cpu:
        return math.nan
    return sum(len(one.tasks) for one in run.arrivals) / run.cpu


def _over_oracle(name, by_policy, label, measure, bound):
    best = measure(by_policy[BEST]) if BEST in by_policy else math.nan
    figures = _each(by_policy, lambda run: measure(run) / best)
    return _with_target(Row(name, f"{label} / oracle", figures), bound)


def _speeds(name, by_policy, runs):
    return [
        _over_oracle(
            name,
            by_policy,
            "mean response",
            lambda run: _mean(measures.response_times(run)),
            1.25,
        ),
        _over_oracle(
            name,
            by_policy,
            "p99 response",
            lambda run: measures.percentile(
                measures.response_times(run), 0.99
            ),
            1.25,
        ),
    ]


def _jobs(name, by_policy, runs):
    return [
        _over_oracle(
            name,
            by_policy,
            "median job time",
            lambda run: measures.percentile(measures.response_times(run), 0.5),
            1.2,
        )
    ]


def _swing(name, by_policy, runs):
    share = _each(by_policy, measures.crest_share)
    normal = _each(by_policy, measures.until_normal)
    return [
        _with_target(Row(name, "crest share", share), 0.98, at_least=True),
        _with_target(Row(name, "s until normal", normal), 2.0),
    ]


def _head_of_line(name, by_policy, runs):
    alone = runs.get("short only")
    if alone is None:
        return []

    def measure(policy):
        with_long = measures.slowdowns(by_policy[policy], "short")
        without = measures.slowdowns(alone[policy], "short")
        return measures.percentile(with_long, 0.99) / measures.percentile(
            without, 0.99
        )

    figures = {policy: measure(policy) for policy in by_policy}
    row = Row(name, "p99 short with/without", figures)
    return [_with_target(row, 1.5)]


def _failing(name, by_policy, runs):
    at = _any(by_policy).load.faults[0].at
    first = _each(
        by_policy, lambda run: measures.failed_share(run, at, at + 1)
    )
    after = _each(
        by_policy,
        lambda run: measures.failed_share(run, at + 1, run.load.seconds),
    )
    return [
        _with_target(Row(name, "lost in 1st second", first), 0.02),
        _with_target(Row(name, "lost after", after), 0.001),
    ]


def _many(name, by_policy, runs):
    return [Row(name, "decisions/s core", _each(by_policy, _pace))]


def _cancel(name, by_policy, runs):
    return [
        Row(
            name, "us per task", _each(by_policy, lambda run: 1e6 / _pace(run))
        )
    ]


_SPECIAL = {
    "steady": (_steady,),
    "speeds 1:4": (_speeds,),
    "jobs of 200": (_jobs,),
    "swing on one": (_swing,),
    "swing on all": (_swing,),
    "short and long": (_head_of_line,),
    "one fails all": (_failing,),
    "240 servers": (_many,),
    "cancel 5000": (_cancel,),
}


def format_rows(rows: list[Row], policies: list[str]) -> str:
    """Return the rows as text, one line a row."""
    head = ["workload", "measure", "target", *policies, ""]
    lines = [head]
    for row in rows:
        figures = [_text(row.figures.get(one)) for one in policies]
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


def _text(figure):
    if figure is None or math.isnan(figure):
        return "-"
    return f"{figure:.4g}"
