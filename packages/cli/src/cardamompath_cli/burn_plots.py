"""Plots of the burn report as inline SVG.

Colours come from the page's style; shapes and labels tell the marks
apart without them.
"""

from __future__ import annotations

import html
from collections.abc import Sequence

from cardamompath_cli import burn_text
from cardamompath_core import burn
from cardamompath_core import burn_measures

__all__ = [
    "plot_burn",
    "plot_minutes",
]

WIDTH = 720
LEFT = 60
RIGHT = 700
TOP = 24
BOTTOM = 150
HEIGHT = 190
BAR = 46
"""Width of a bar."""
LEAST_MARK = 3
"""Least height of a bar of bad submissions."""
LEAST_MINUTES = 30
"""Shortest time axis."""


def plot_burn(row: burn.Row) -> str:
    """Draw the burn rate of each window as a bar, with a line at 1."""
    name = html.escape(burn_text.printable(row.key.service))
    burns = [one.burn for one in row.windows]
    top = max([2.0, *(one for one in burns if one is not None)])
    parts = [_text(8, 14, f"{name}: burn rate by window")]
    step = (RIGHT - LEFT) / len(burns)
    for index, window in enumerate(row.windows):
        middle = LEFT + step * (index + 0.5)
        parts += _bar(middle, window, top)
    line = _height(1.0, top)
    parts.append(_line("limit", LEFT, line, RIGHT, line))
    parts.append(_text(LEFT - 6, line + 4, "1", "end"))
    parts.append(_line("axis", LEFT, BOTTOM, RIGHT, BOTTOM))
    return _svg(f"Burn rate of {name} by window", parts)


def plot_minutes(service: str, minutes: Sequence[burn_measures.Minute]) -> str:
    """Draw each minute's submissions, and above them those not good.

    The line is what was offered; bars are late or failed submissions
    and dots refused ones.
    """
    name = html.escape(burn_text.printable(service))
    oldest = max([LEAST_MINUTES, *(one.age for one in minutes)])
    counts = [one.counts for one in minutes]
    top = max([1, *(one.total + one.refused for one in counts)])
    parts = [_text(8, 14, f"{name}: submissions a minute")]
    parts.append(
        _text(RIGHT, 14, "line: all, bars: bad, dots: refused", "end")
    )
    offered = []
    for one in minutes:
        left = RIGHT - (RIGHT - LEFT) * one.age / oldest
        total = one.counts.total + one.counts.refused
        offered.append(f"{left:.1f},{_height(total, top):.1f}")
        parts += _minute_marks(left, one.counts, top)
    points = " ".join(offered)
    parts.append(f'<polyline class="load" points="{points}"/>')
    parts.append(_line("axis", LEFT, BOTTOM, RIGHT, BOTTOM))
    parts += _minute_axes(oldest, top)
    return _svg(f"Submissions to {name} by minute", parts)


def _minute_marks(left, counts, top):
    marks = []
    if counts.bad:
        high = min(_height(counts.bad, top), BOTTOM - LEAST_MARK)
        marks.append(_rect(left - 1.5, high, 3, BOTTOM - high))
    if counts.refused:
        high = _height(counts.refused, top)
        marks.append(f'<circle cx="{left:.1f}" cy="{high:.1f}" r="2.5"/>')
    return marks


def _minute_axes(oldest, top):
    return [
        _text(LEFT, BOTTOM + 16, f"{oldest:.0f} min ago", "start"),
        _text(RIGHT, BOTTOM + 16, "now", "end"),
        _text(LEFT - 6, TOP + 4, str(top), "end"),
        _text(LEFT - 6, BOTTOM + 4, "0", "end"),
    ]


def _bar(middle, window, top):
    value = "no data" if window.burn is None else f"{window.burn:.2f}"
    high = _height(window.burn or 0.0, top)
    return [
        _rect(middle - BAR / 2, high, BAR, BOTTOM - high),
        _text(middle, high - 5, value, "middle"),
        _text(middle, BOTTOM + 16, window.name, "middle"),
    ]


def _height(value, top):
    return BOTTOM - (BOTTOM - TOP - 10) * value / top


def _text(left, base, text, anchor="start"):
    return (
        f'<text x="{left:.1f}" y="{base:.1f}" '
        f'text-anchor="{anchor}">{text}</text>'
    )


def _line(name, left, first, right, last):
    return (
        f'<line class="{name}" x1="{left}" y1="{first:.1f}" '
        f'x2="{right}" y2="{last:.1f}"/>'
    )


def _rect(left, high, width, height):
    return (
        f'<rect x="{left:.1f}" y="{high:.1f}" '
        f'width="{width}" height="{height:.1f}"/>'
    )


def _svg(label, parts):
    body = "\n".join(parts)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" role="img" '
        f'aria-label="{label}" viewBox="0 0 {WIDTH} {HEIGHT}">\n'
        f"{body}\n</svg>"
    )
