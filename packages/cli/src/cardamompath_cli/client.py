"""Calls of the command line to an instance."""

from __future__ import annotations

import json
from typing import Any
from typing import NamedTuple

import urllib3

__all__ = [
    "CallError",
    "Called",
    "call",
    "fetch",
]


HTTP_OK = 200


class CallError(Exception):
    """The instance cannot be reached, or gave no usable response."""


class Called(NamedTuple):
    """Status and decoded body of a response."""

    status: int
    body: Any


def call(
    address: str, method: str, path: str, body: Any = None, timeout=90.0
) -> Called:
    """Call an instance.

    Parameters
    ----------
    address : str
        IP number and port, as ``127.0.0.1:7200``.
    method, path : str
        What to ask for.
    body : object, optional
        Sent as JSON.
    timeout : float, default 90.0
        Seconds to wait for the response.

    Raises
    ------
    CallError
        If there is no response.
    """
    raw = None if body is None else json.dumps(body).encode()
    try:
        response = urllib3.request(
            method,
            f"http://{address}{path}",
            body=raw,
            retries=False,
            timeout=timeout,
        )
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        raise CallError(f"no answer from {address}: {exc}") from exc
    try:
        decoded = json.loads(response.data)
    except ValueError:
        decoded = response.data.decode("latin-1")
    return Called(response.status, decoded)


def fetch(address: str, path: str) -> dict[str, Any]:
    """Get a page of the operators' listener.

    Raises
    ------
    CallError
        If there is no such page now.
    """
    called = call(address, "GET", path)
    if called.status != HTTP_OK or not isinstance(called.body, dict):
        raise CallError(
            f"{address}{path} answered {called.status}: {called.body}"
        )
    return called.body
