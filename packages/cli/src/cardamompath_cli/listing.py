"""``cardamompath jobs``: the jobs of an instance."""

from __future__ import annotations

import json

import cappa

from cardamompath_cli import client
from cardamompath_cli import exits
from cardamompath_cli import options

__all__ = [
    "Jobs",
    "List",
    "Stuck",
    "list_all",
    "list_stuck",
]


def list_all(command: List) -> int:
    """Print the jobs of an instance, oldest first."""
    _print(client.fetch(command.to, "/v1/jobs")["jobs"], command.json)
    return exits.DONE


def list_stuck(command: Stuck) -> int:
    """Print the stuck jobs; refused as an exit code when there are any."""
    jobs = client.fetch(command.to, "/v1/jobs?stuck=yes")["jobs"]
    _print(jobs, command.json)
    return exits.REFUSED if jobs else exits.DONE


def _print(jobs, as_json):
    if as_json:
        print(json.dumps({"jobs": jobs}))
        return
    for one in jobs:
        settled = f"{one['settled']}/{one['tasks']}"
        print(
            f"{one['state']:<9} {one['age']:8.1f} s  {settled:>9}  "
            f"{one['job']}  {one['reason']}"
        )
    print(f"{len(jobs)} jobs")


@cappa.command(name="list", invoke=list_all)
class List:
    """List the jobs of an instance with age and state."""

    to: options.Operators = options.OPERATORS
    json: options.Json = False


@cappa.command(invoke=list_stuck)
class Stuck:
    """List jobs unanswered past their deadline, with the reason.

    Exit codes: 0 when there are none, 1 when there are some, 4 when the
    instance gave no answer.
    """

    to: options.Operators = options.OPERATORS
    json: options.Json = False


@cappa.command
class Jobs:
    """List the jobs of an instance, or those that are stuck."""

    command: cappa.Subcommands[List | Stuck]
