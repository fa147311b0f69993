"""``cardamompath report``: reports on the submissions of instances."""

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


class _Fetched(NamedTuple):
    pages: list[burn.InstanceCounts]
    objectives: dict[str, float]
    faults: list[str]


def report_burn(command: Burn) -> int:
    """Print how fast services spend their error budgets."""
    fetched = _fetch_counts(
        dict.fromkeys(command.to or [options.DEFAULT_OPERATORS])
    )
    samples = burn.collect_samples(fetched.pages)
    rows = burn.assess(samples, fetched.objectives)
    measures = burn_measures.measure(samples)
    notes = _make_notes(fetched, samples)
    if command.html:
        page = burn_page.make_page(rows, measures, samples, notes)
        try:
            with open(command.html, "w", encoding="utf-8") as stream:
                stream.write(page)
        except OSError as exc:
            print(f"{command.html}: {exc}", file=sys.stderr)
            return exits.USAGE
    if command.json:
        print(json.dumps(_encode_report(fetched, rows, measures)))
    else:
        _print_tables(rows, measures, notes)
    return exits.UNREACHABLE if fetched.faults else exits.DONE


def _fetch_counts(addresses):
    fetched = _Fetched([], {}, [])
    revision = -1
    for address in addresses:
        try:
            page = client.fetch(address, "/v1/burn")
            cfg = client.fetch(address, "/v1/configuration")
        except client.RequestError as exc:
            fetched.faults.append(str(exc))
            continue
        fetched.pages.append(
            burn.InstanceCounts(page["domain"], page["now"], page["buckets"])
        )
        if cfg["revision"] > revision:
            revision = cfg["revision"]
            fetched.objectives.clear()
            for service in cfg["services"]:
                fetched.objectives[service["name"]] = service["objective"]
    return fetched


def _make_notes(fetched, samples):
    oldest = max((sample.age for sample in samples), default=0.0)
    days = burn.PERIOD / burn_text.DAY
    notes = [
        f"Counts of {len(fetched.pages)} instances over the last "
        f"{oldest / burn_text.HOUR:.1f} h; the error budget is for "
        f"{days:.0f} days. Late and failed submissions spend it; refused "
        "ones did not run; they do not spend it and are counted separately.",
    ]
    notes += [f"Left out: {fault}" for fault in fetched.faults]
    if not samples:
        notes.append("No submission has ended yet.")
    return notes


def _print_tables(rows, measures, notes):
    lines = [burn_text.burn_cells(row) for row in rows]
    values = [
        cells
        for service_measures in measures
        for cells in burn_text.measure_cells(service_measures)
    ]
    for note in notes:
        print(burn_text.printable(note))
    if lines:
        print()
        print(burn_text.format_table(burn_text.BURN_HEADINGS, lines))
    if values:
        print()
        print(burn_text.format_table(burn_text.MEASURE_HEADINGS, values))


def _encode_report(fetched, rows, measures) -> dict[str, Any]:
    return {
        "instances": len(fetched.pages),
        "faults": fetched.faults,
        "period": burn.PERIOD,
        "rows": [_encode(row) for row in rows],
        "measures": [
            _encode(service_measures) for service_measures in measures
        ],
    }


def _encode(value):
    if hasattr(value, "_asdict"):
        return {key: _encode(field) for key, field in value._asdict().items()}
    if isinstance(value, tuple):
        return [_encode(item) for item in value]
    return value


@cappa.command(invoke=report_burn)
class Burn:
    """Show how fast services spend their error budgets.

    Exit codes: 0 success; 2 the page cannot be written; 4 an instance
    gave no answer and is left out.
    """

    to: Annotated[
        list[str] | None,
        cappa.Arg(
            long="--to", help="Address for operators; once for each instance."
        ),
    ] = None
    json: options.JsonFlag = False
    html: Annotated[
        str,
        cappa.Arg(long="--html", help="Also write an HTML page to this file."),
    ] = ""


@cappa.command
class Report:
    """Report on the submissions of instances."""

    command: cappa.Subcommands[Burn]
