"""``cardamompath settings``: check and explain settings files."""

from __future__ import annotations

import json
import sys
from typing import Annotated

import cappa
from returns import pipeline

from cardamompath_cli import exits
from cardamompath_cli import options
from cardamompathd.settings import loading
from cardamompathd.settings import table

__all__ = [
    "Check",
    "Explain",
    "Settings",
    "check",
    "explain",
]


def check(command: Check) -> int:
    """Print every fault of the files."""
    loaded = loading.load(command.files)
    valid = pipeline.is_successful(loaded)
    faults = () if valid else loaded.failure()
    if command.json:
        listed = [one._asdict() for one in faults]
        print(json.dumps({"valid": valid, "faults": listed}))
        return exits.DONE if valid else exits.USAGE
    if valid:
        print("the settings are valid")
        return exits.DONE
    for fault in faults:
        print(fault, file=sys.stderr)
    return exits.USAGE


def explain(command: Explain) -> int:
    """Print the table of all settings."""
    if command.json:
        rows = [_row(one) for one in table.TABLE]
        print(json.dumps({"settings": rows}))
        return exits.DONE
    section = ""
    for one in table.TABLE:
        if one.section != section:
            section = one.section
            print(f"[{section}]")
        given = "has to be given" if one.default is None else one.default
        unit = f" {one.unit}" if one.unit else ""
        print(f"{one.key} = {given}{unit}")
        print(f"    {one.help} {one.kind}, {one.allowed}.")
    return exits.DONE


def _row(one):
    fields = ("section", "key", "kind", "unit", "default", "allowed", "help")
    return {name: getattr(one, name) for name in fields}


@cappa.command(invoke=check)
class Check:
    """Check settings files as a whole."""

    files: Annotated[list[str], cappa.Arg(help="INI files; later win.")]
    json: options.Json = False


@cappa.command(invoke=explain)
class Explain:
    """List every setting with its default, unit and bounds."""

    json: options.Json = False


@cappa.command
class Settings:
    """Check and explain settings files."""

    command: cappa.Subcommands[Check | Explain]
