"""``cardamompath status``: shows the current work of an instance."""

from __future__ import annotations

import json

import cappa

from cardamompath_cli import client
from cardamompath_cli import exits
from cardamompath_cli import options

__all__ = [
    "Status",
    "show",
]


def show(command: Status) -> int:
    """Print the status of an instance."""
    body = client.fetch(command.to, "/v1/status")
    if command.json:
        print(json.dumps(body))
        return exits.DONE
    print(f"instance    {body['jobs']['owner']}")
    print(f"revision    {body['revision']}")
    if body["jobs"]["draining"]:
        print("state       draining")
    print(f"unanswered  {body['jobs']['unanswered']} jobs")
    for row in body["submissions"]["outcomes"]:
        name = f"{row['outcome']} {row['code']}".strip()
        print(f"ended       {row['count']:4d} {name}")
    print(f"queued      {body['backends']['queued']} tasks")
    for name, count in sorted(body["backends"]["in_flight"].items()):
        print(f"in flight   {count:4d} at {name}")
    return exits.DONE


@cappa.command(invoke=show)
class Status:
    """Show the revision, jobs and tasks of an instance."""

    to: options.OperatorsAddress = options.DEFAULT_OPERATORS
    json: options.JsonFlag = False
