"""Table cells and terminal tables of the burn report."""

from __future__ import annotations

import math
from collections.abc import Iterable
from collections.abc import Sequence

from cardamompath_core import burn
from cardamompath_core import burn_measures

__all__ = [
    "BURN_HEADINGS",
    "MEASURE_HEADINGS",
    "NOT_COLLECTED",
    "burn_cells",
    "format_table",
    "measure_cells",
    "printable",
]

BURN_HEADINGS = (
    "service",
    "part",
    "objective",
    *(f"burn {name}" for name, _ in burn.WINDOWS),
    "spent",
    "gone in",
    "late",
    "failed",
    "refused",
)
MEASURE_HEADINGS = ("service", "measure", "value")

NOT_COLLECTED = "not collected"
NO_VALUE = "-"
MINUTE = 60.0
HOUR = 3600.0
DAY = 86400.0


def burn_cells(row: burn.Row) -> tuple[str, ...]:
    """Return the cells of a row under `BURN_HEADINGS`."""
    counts = row.windows[-1].counts
    return (
        row.key.service or "(unknown)",
        _format_part(row.key),
        NO_VALUE if row.objective is None else f"{row.objective:.5g}",
        *(_format_number(window.burn) for window in row.windows),
        NO_VALUE if row.spent is None else f"{row.spent:.1%}",
        _format_duration(row.left),
        str(counts.late),
        str(counts.failed),
        str(counts.refused),
    )


def measure_cells(measures: burn_measures.Measures) -> list[tuple[str, ...]]:
    """Return the cells of the measures under `MEASURE_HEADINGS`."""
    values = (
        ("response time / ideal", _format_response(measures.response)),
        ("wasted exchanges", _format_wasted(measures.response)),
        ("busiest minute", _format_peak(measures.crest)),
        ("p99 of short work", _format_blocking(measures.blocking)),
    )
    return [(measures.service, name, value) for name, value in values]


def format_table(
    headings: Sequence[str], lines: Iterable[Sequence[str]]
) -> str:
    """Return the cells as aligned columns for a terminal."""
    lines = [headings, *([printable(cell) for cell in line] for line in lines)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(map(str.ljust, line, widths)).rstrip() for line in lines
    )


def printable(text: str) -> str:
    """Replace control characters, as a terminal would act on them."""
    return "".join(char if char.isprintable() else "?" for char in text)


def _format_part(key):
    if key.team:
        return f"team {key.team}"
    return f"domain {key.domain}" if key.domain else "all"


def _format_number(value):
    return NO_VALUE if value is None else f"{value:.2f}"


def _format_duration(seconds):
    if seconds is None:
        return NO_VALUE
    if seconds == 0:
        return "gone"
    if seconds >= DAY:
        return f"{seconds / DAY:.1f} d"
    if seconds >= HOUR:
        return f"{seconds / HOUR:.1f} h"
    return f"{math.ceil(seconds / MINUTE)} min"


def _format_response(value):
    if value is None:
        return NOT_COLLECTED
    return (
        f"median {value.median:.3g}, p99 {value.p99:.3g} "
        f"({value.measured} submissions)"
    )


def _format_wasted(value):
    if value is None or value.wasted_per_task is None:
        return NOT_COLLECTED
    return f"{value.wasted_per_task:.4f} a task"


def _format_peak(value):
    if value is None:
        return NOT_COLLECTED
    return (
        f"{value.offered} submissions {value.age:.0f} min ago: "
        f"{value.in_time:.2%} in time, {value.refused:.2%} refused"
    )


def _format_blocking(value):
    if value is None:
        return NOT_COLLECTED
    with_long, without = (
        "no such minute" if p99 is None else f"{p99:.3g}" for p99 in value
    )
    return f"beside long work {with_long}, without {without}"
