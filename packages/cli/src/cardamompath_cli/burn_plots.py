"""Plots of the burn report as inline SVG.

Colours come from the style of the page.  The marks differ in shape and
label too, so that they can be told apart without colours.
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
BAR_WIDTH = 46
"""Width of a bar of a burn rate."""
MIN_BAR_HEIGHT = 3
"""Smallest height of a bar of bad submissions, so that it is visible."""
MIN_MINUTES = 30
"""Shortest time axis, in minutes."""


def plot_burn(row: burn.Row) -> str:
    """Draw the burn rate of each window as a bar, with a line at 1."""
    name = html.escape(burn_text.printable(row.key.service))
    burns = [item.burn for item in row.windows]
    max_value = max([2.0, *(rate for rate in burns if rate is not None)])
    parts = [_text(8, 14, f"{name}: burn rate by window")]
    step = (RIGHT - LEFT) / len(burns)
    for index, window in enumerate(row.windows):
        center = LEFT + step * (index + 0.5)
        parts += _bar(center, window, max_value)
    line = _scale_y(1.0, max_value)
    parts.append(_line("limit", LEFT, line, RIGHT, line))
    parts.append(_text(LEFT - 6, line + 4, "1", "end"))
    parts.append(_line("axis", LEFT, BOTTOM, RIGHT, BOTTOM))
    return _svg(f"Burn rate of {name} by window", parts)


def plot_minutes(service: str, minutes: Sequence[burn_measures.Minute]) -> str:
    """Draw the submissions of each minute.

    The line shows all of them, the bars the late and failed ones, and
    the dots the refused ones.
    """
    name = html.escape(burn_text.printable(service))
    oldest = max([MIN_MINUTES, *(minute.age for minute in minutes)])
    counts = [minute.counts for minute in minutes]
    max_value = max([1, *(count.total + count.refused for count in counts)])
    parts = [_text(8, 14, f"{name}: submissions a minute")]
    parts.append(
        _text(RIGHT, 14, "line: all, bars: bad, dots: refused", "end")
    )
    offered = []
    for minute in minutes:
        x = RIGHT - (RIGHT - LEFT) * minute.age / oldest
        total = minute.counts.total + minute.counts.refused
        offered.append(f"{x:.1f},{_scale_y(total, max_value):.1f}")
        parts += _minute_marks(x, minute.counts, max_value)
    points = " ".join(offered)
    parts.append(f'<polyline class="load" points="{points}"/>')
    parts.append(_line("axis", LEFT, BOTTOM, RIGHT, BOTTOM))
    parts += _minute_axes(oldest, max_value)
    return _svg(f"Submissions to {name} by minute", parts)


def _minute_marks(x, counts, max_value):
    marks = []
    if counts.bad:
        y = min(_scale_y(counts.bad, max_value), BOTTOM - MIN_BAR_HEIGHT)
        marks.append(_rect(x - 1.5, y, 3, BOTTOM - y))
    if counts.refused:
        y = _scale_y(counts.refused, max_value)
        marks.append(f'<circle cx="{x:.1f}" cy="{y:.1f}" r="2.5"/>')
    return marks


def _minute_axes(oldest, max_value):
    return [
        _text(LEFT, BOTTOM + 16, f"{oldest:.0f} min ago", "start"),
        _text(RIGHT, BOTTOM + 16, "now", "end"),
        _text(LEFT - 6, TOP + 4, str(max_value), "end"),
        _text(LEFT - 6, BOTTOM + 4, "0", "end"),
    ]


def _bar(center, window, max_value):
    value = "no data" if window.burn is None else f"{window.burn:.2f}"
    y = _scale_y(window.burn or 0.0, max_value)
    return [
        _rect(center - BAR_WIDTH / 2, y, BAR_WIDTH, BOTTOM - y),
        _text(center, y - 5, value, "middle"),
        _text(center, BOTTOM + 16, window.name, "middle"),
    ]


def _scale_y(value, max_value):
    return BOTTOM - (BOTTOM - TOP - 10) * value / max_value


def _text(x, y, text, anchor="start"):
    return (
        f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}">{text}</text>'
    )


def _line(css_class, x1, y1, x2, y2):
    return (
        f'<line class="{css_class}" x1="{x1}" y1="{y1:.1f}" '
        f'x2="{x2}" y2="{y2:.1f}"/>'
    )


def _rect(x, y, width, height):
    return (
        f'<rect x="{x:.1f}" y="{y:.1f}" '
        f'width="{width}" height="{height:.1f}"/>'
    )


def _svg(label, parts):
    body = "\n".join(parts)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" role="img" '
        f'aria-label="{label}" viewBox="0 0 {WIDTH} {HEIGHT}">\n'
        f"{body}\n</svg>"
    )
