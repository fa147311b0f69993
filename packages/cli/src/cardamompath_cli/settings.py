"""``cardamompath settings``: checks and explains settings files."""

from __future__ import annotations

import json
import sys
from typing import Annotated

import cappa
from returns import pipeline

from cardamompath_cli import exits
from cardamompath_cli import options
from cardamompathd.settings import loading
from cardamompathd.settings import pool_table
from cardamompathd.settings import table

__all__ = [
    "Check",
    "Explain",
    "Settings",
    "check",
    "explain",
]


def check(command: Check) -> int:
    """Print every fault in the settings files."""
    load = pool_table.load if command.pool else loading.load
    loaded = load(command.files)
    valid = pipeline.is_successful(loaded)
    faults = () if valid else loaded.failure()
    if command.json:
        listed = [item._asdict() for item in faults]
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
    declared = pool_table.TABLE if command.pool else table.TABLE
    if command.json:
        rows = [_make_row(entry) for entry in declared]
        print(json.dumps({"settings": rows}))
        return exits.DONE
    section = ""
    for entry in declared:
        if entry.section != section:
            section = entry.section
            print(f"[{section}]")
        default = "required" if entry.default is None else entry.default
        unit = f" {entry.unit}" if entry.unit else ""
        print(f"{entry.key} = {default}{unit}")
        print(f"    {entry.help} {entry.kind}, {entry.allowed}.")
    return exits.DONE


def _make_row(entry):
    fields = ("section", "key", "kind", "unit", "default", "allowed", "help")
    return {name: getattr(entry, name) for name in fields}


PoolFlag = Annotated[
    bool,
    cappa.Arg(
        long=True,
        help="The settings of how batches share executors, as in "
        "deploy/pool.ini, in place of those of an instance.",
    ),
]


@cappa.command(invoke=check)
class Check:
    """Check settings files and print every fault."""

    files: Annotated[
        list[str],
        cappa.Arg(help="INI files; later files override earlier ones."),
    ]
    pool: PoolFlag = False
    json: options.JsonFlag = False


@cappa.command(invoke=explain)
class Explain:
    """List every setting with its default, unit and allowed values."""

    pool: PoolFlag = False
    json: options.JsonFlag = False


@cappa.command
class Settings:
    """Check and explain settings files."""

    command: cappa.Subcommands[Check | Explain]
