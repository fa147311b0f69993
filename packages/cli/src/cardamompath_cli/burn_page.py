"""The burn report as one HTML page without scripts or other files."""

from __future__ import annotations

import html
from collections.abc import Iterable
from collections.abc import Sequence

from cardamompath_cli import burn_plots
from cardamompath_cli import burn_text
from cardamompath_core import burn
from cardamompath_core import burn_measures

__all__ = [
    "make_page",
]

STYLE = """
:root { color-scheme: light dark; --ink: #111; --paper: #fff;
  --faint: #999; --bar: #555; --load: #06c; }
@media (prefers-color-scheme: dark) {
  :root { --ink: #ddd; --paper: #111; --faint: #777; --bar: #aaa;
    --load: #7bf; } }
@media print {
  :root { color-scheme: light; --ink: #000; --paper: #fff;
    --faint: #777; --bar: #555; --load: #000; }
  svg, tr { break-inside: avoid; } }
body { margin: 2em auto; max-width: 72em; padding: 0 1em;
  font: 15px/1.4 sans-serif; color: var(--ink);
  background: var(--paper); }
.wide { overflow-x: auto; }
table { border-collapse: collapse; font-size: 13px; }
th, td { padding: 0.2em 0.7em; text-align: left;
  border-bottom: 1px solid var(--faint);
  font-variant-numeric: tabular-nums; }
svg { display: block; width: 100%; max-width: 52em; margin: 1em 0; }
svg text { font: 12px sans-serif; fill: var(--ink); }
svg rect { fill: var(--bar); }
svg circle { fill: var(--paper); stroke: var(--ink); }
svg .axis { stroke: var(--faint); }
svg .limit { stroke: var(--ink); stroke-dasharray: 6 4; }
svg .load { fill: none; stroke: var(--load); stroke-width: 1.5; }
"""


def make_page(
    rows: Sequence[burn.Row],
    measures: Sequence[burn_measures.Measures],
    samples: Sequence[burn.Sample],
    notes: Iterable[str],
) -> str:
    """Make the page.

    Parameters
    ----------
    rows : sequence of Row
        The burn of every service and its parts.
    measures : sequence of Measures
        The three measures of every service.
    samples : sequence of Sample
        What the plots are drawn from.
    notes : iterable of str
        What a reader must know of this report.
    """
    lines = [burn_text.burn_cells(one) for one in rows]
    values = [
        cells for one in measures for cells in burn_text.measure_cells(one)
    ]
    parts = [
        *(f"<p>{_escape(one)}</p>" for one in notes),
        "<h2>Error budgets</h2>",
        _table(burn_text.BURN_HEADINGS, lines),
        *_plots(rows, samples),
        "<h2>Measures</h2>",
        _table(burn_text.MEASURE_HEADINGS, values),
    ]
    return _wrap("\n".join(parts))


def _wrap(body):
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head>\n'
        '<meta charset="utf-8">\n'
        '<meta name="viewport" content="width=device-width">\n'
        f"<title>Service-level burn</title>\n<style>{STYLE}</style>\n"
        f"</head>\n<body>\n<h1>Service-level burn</h1>\n{body}\n"
        "</body>\n</html>\n"
    )


def _table(headings, lines):
    head = "".join(f'<th scope="col">{one}</th>' for one in headings)
    body = "\n".join(f"<tr>{_cells(line)}</tr>" for line in lines)
    return (
        f'<div class="wide"><table>\n<thead><tr>{head}</tr></thead>\n'
        f"<tbody>\n{body}\n</tbody></table></div>"
    )


def _cells(line):
    return "".join(f"<td>{_escape(one)}</td>" for one in line)


def _escape(text):
    return html.escape(burn_text.printable(text))


def _plots(rows, samples):
    for row in rows:
        if row.objective is None or row.key != burn.Key(row.key.service):
            continue
        found = [one for one in samples if one.key.service == row.key.service]
        minutes = burn_measures.list_minutes(found)
        yield burn_plots.plot_burn(row)
        yield burn_plots.plot_minutes(row.key.service, minutes)
