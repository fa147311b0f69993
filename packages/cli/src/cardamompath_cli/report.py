"""``cardamompath report``: reports on what instances have done."""

from __future__ import annotations

import json
import sys
from typing import Annotated
from typing import Any
from typing import NamedTuple

import cappa

from cardamompath_cli import burn_page
from cardamompath_cli import burn_text
from cardamompath_cli import client
from cardamompath_cli import exits
from cardamompath_cli import options
from cardamompath_core import burn
from cardamompath_core import burn_measures

__all__ = [
    "Burn",
    "Report",
    "report_burn",
]


class _Found(NamedTuple):
    pages: list[burn.InstanceCounts]
    objectives: dict[str, float]
    faults: list[str]


def report_burn(command: Burn) -> int:
    """Print how fast services spend their error budgets."""
    found = _fetch(dict.fromkeys(command.to or [options.OPERATORS]))
    samples = burn.collect_samples(found.pages)
    rows = burn.assess(samples, found.objectives)
    measures = burn_measures.measure(samples)
    notes = _notes(found, samples)
    if command.html:
        page = burn_page.make_page(rows, measures, samples, notes)
        try:
            with open(command.html, "w", encoding="utf-8") as stream:
                stream.write(page)
        except OSError as exc:
            print(f"{command.html}: {exc}", file=sys.stderr)
            return exits.USAGE
    if command.json:
        print(json.dumps(_encode_report(found, rows, measures)))
    else:
        _print_tables(rows, measures, notes)
    return exits.UNREACHABLE if found.faults else exits.DONE


def _fetch(addresses):
    found = _Found([], {}, [])
    revision = -1
    for address in addresses:
        try:
            page = client.fetch(address, "/v1/burn")
            cfg = client.fetch(address, "/v1/configuration")
        except client.CallError as exc:
            found.faults.append(str(exc))
            continue
        found.pages.append(
            burn.InstanceCounts(page["domain"], page["now"], page["buckets"])
        )
        if cfg["revision"] > revision:
            revision = cfg["revision"]
            found.objectives.clear()
            for one in cfg["services"]:
                found.objectives[one["name"]] = one["objective"]
    return found


def _notes(found, samples):
    oldest = max((one.age for one in samples), default=0.0)
    days = burn.PERIOD / burn_text.DAY
    notes = [
        f"Counts of {len(found.pages)} instances over the last "
        f"{oldest / burn_text.HOUR:.1f} h; the budget is for "
        f"{days:.0f} days. Late and failed submissions spend it; refused "
        "ones did not run, do not spend it and are counted apart.",
    ]
    notes += [f"Left out: {one}" for one in found.faults]
    if not samples:
        notes.append("No submission has ended yet.")
    return notes


def _print_tables(rows, measures, notes):
    lines = [burn_text.burn_cells(one) for one in rows]
    values = [
        cells for one in measures for cells in burn_text.measure_cells(one)
    ]
    for note in notes:
        print(burn_text.printable(note))
    if lines:
        print()
        print(burn_text.format_table(burn_text.BURN_HEADINGS, lines))
    if values:
        print()
        print(burn_text.format_table(burn_text.MEASURE_HEADINGS, values))


def _encode_report(found, rows, measures) -> dict[str, Any]:
    return {
        "instances": len(found.pages),
        "faults": found.faults,
        "period": burn.PERIOD,
        "rows": [_encode(one) for one in rows],
        "measures": [_encode(one) for one in measures],
    }


def _encode(value):
    if hasattr(value, "_asdict"):
        return {key: _encode(one) for key, one in value._asdict().items()}
    if isinstance(value, tuple):
        return [_encode(one) for one in value]
    return value


@cappa.command(invoke=report_burn)
class Burn:
    """Show how fast services spend their error budgets.

    Exit codes: 0 done, 2 the page cannot be written, 4 an instance gave
    no answer and is left out.
    """

    to: Annotated[
        list[str] | None,
        cappa.Arg(
            long="--to", help="Operators' address; once for each instance."
        ),
    ] = None
    json: options.Json = False
    html: Annotated[
        str, cappa.Arg(long="--html", help="Also write a page to this file.")
    ] = ""


@cappa.command
class Report:
    """Report on what instances have done."""

    command: cappa.Subcommands[Burn]
