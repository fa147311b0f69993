"""``cardamompath status``: what an instance is doing."""

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
    called = client.call(command.to, "GET", "/v1/status")
    if command.json:
        print(json.dumps(called.body))
        return exits.DONE
    body = called.body
    print(f"instance    {body['jobs']['owner']}")
    print(f"revision    {body['revision']}")
    print(f"unanswered  {body['jobs']['unanswered']} jobs")
    print(f"queued      {body['backends']['queued']} tasks")
    for name, count in sorted(body["backends"]["in_flight"].items()):
        print(f"in flight   {count:4d} at {name}")
    return exits.DONE


@cappa.command(invoke=show)
class Status:
    """Show what an instance is doing."""

    to: options.Operators = options.OPERATORS
    json: options.Json = False
