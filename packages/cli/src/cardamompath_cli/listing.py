"""``cardamompath jobs``: lists the jobs of an instance."""

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
    """Print the stuck jobs; the exit code is `REFUSED` if there are any."""
    jobs = client.fetch(command.to, "/v1/jobs?stuck=yes")["jobs"]
    _print(jobs, command.json)
    return exits.REFUSED if jobs else exits.DONE


def _print(jobs, as_json):
    if as_json:
        print(json.dumps({"jobs": jobs}))
        return
    for job in jobs:
        settled = f"{job['settled']}/{job['tasks']}"
        print(
            f"{job['state']:<9} {job['age']:8.1f} s  {settled:>9}  "
            f"{job['job']}  {job['reason']}"
        )
    print(f"{len(jobs)} jobs")


@cappa.command(name="list", invoke=list_all)
class List:
    """List the jobs of an instance with their state and age."""

    to: options.OperatorsAddress = options.DEFAULT_OPERATORS
    json: options.JsonFlag = False


@cappa.command(invoke=list_stuck)
class Stuck:
    """List jobs without an answer past their deadline, with the reason.

    Exit codes: 0 no stuck jobs; 1 there are stuck jobs; 4 no answer from
    the instance.
    """

    to: options.OperatorsAddress = options.DEFAULT_OPERATORS
    json: options.JsonFlag = False


@cappa.command
class Jobs:
    """List the jobs of an instance, or those that are stuck."""

    command: cappa.Subcommands[List | Stuck]
