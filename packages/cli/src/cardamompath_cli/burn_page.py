"""The burn report as a single HTML page without scripts."""

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
    """Return the burn report as an HTML document.

    Parameters
    ----------
    rows : sequence of Row
        Burn rates of every service, in total, by team and by domain.
    measures : sequence of Measures
        Measures of every service.
    samples : sequence of Sample
        Samples from which the plots are drawn.
    notes : iterable of str
        Paragraphs above the tables.
    """
    lines = [burn_text.burn_cells(row) for row in rows]
    values = [
        cells
        for service_measures in measures
        for cells in burn_text.measure_cells(service_measures)
    ]
    parts = [
        *(f"<p>{_escape(note)}</p>" for note in notes),
        "<h2>Error budgets</h2>",
        _make_table(burn_text.BURN_HEADINGS, lines),
        *_make_plots(rows, samples),
        "<h2>Measures</h2>",
        _make_table(burn_text.MEASURE_HEADINGS, values),
    ]
    return _make_document("\n".join(parts))


def _make_document(body):
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head>\n'
        '<meta charset="utf-8">\n'
        '<meta name="viewport" content="width=device-width">\n'
        f"<title>Service-level burn</title>\n<style>{STYLE}</style>\n"
        f"</head>\n<body>\n<h1>Service-level burn</h1>\n{body}\n"
        "</body>\n</html>\n"
    )


def _make_table(headings, lines):
    head = "".join(f'<th scope="col">{heading}</th>' for heading in headings)
    body = "\n".join(f"<tr>{_make_cells(line)}</tr>" for line in lines)
    return (
        f'<div class="wide"><table>\n<thead><tr>{head}</tr></thead>\n'
        f"<tbody>\n{body}\n</tbody></table></div>"
    )


def _make_cells(line):
    return "".join(f"<td>{_escape(cell)}</td>" for cell in line)


def _escape(text):
    return html.escape(burn_text.printable(text))


def _make_plots(rows, samples):
    for row in rows:
        if row.objective is None or row.key != burn.Key(row.key.service):
            continue
        of_service = [
            sample
            for sample in samples
            if sample.key.service == row.key.service
        ]
        minutes = burn_measures.list_minutes(of_service)
        yield burn_plots.plot_burn(row)
        yield burn_plots.plot_minutes(row.key.service, minutes)
