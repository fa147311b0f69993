"""Prints answers to callers' requests and chooses the exit code."""

from __future__ import annotations

import collections
import json

from cardamompath_cli import client
from cardamompath_cli import exits

__all__ = [
    "show",
]

EXIT_CODES = {
    "complete": exits.DONE,
    "failed": exits.FAILED,
    "pending": exits.PENDING,
    "refused": exits.REFUSED,
}


def show(response: client.Response, as_json: bool) -> int:
    """Print an answer and return the exit code.

    Raises
    ------
    RequestError
        If the response is not an answer.
    """
    body = response.body
    if not isinstance(body, dict) or body.get("outcome") not in EXIT_CODES:
        raise client.RequestError(
            f"the response with status {response.status} is not an answer"
        )
    if as_json:
        print(json.dumps(body))
    else:
        _print_text(body)
    return EXIT_CODES[body["outcome"]]


def _print_text(body):
    words = (body["outcome"], body.get("job", ""), body.get("reason", ""))
    print("  ".join(word for word in words if word))
    if body["outcome"] == "pending":
        print(f"{body['finished']} of {body['total']} tasks finished")
    tasks = body.get("tasks", ())
    for key in ("state", "backend"):
        counts = collections.Counter(task[key] for task in tasks)
        for name, count in sorted(counts.items()):
            print(f"{key:<8} {name or '-':<24} {count} tasks")
    if len(tasks) == 1 and "payload" in tasks[0]:
        print(json.dumps(tasks[0]["payload"]))
