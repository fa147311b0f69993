"""HTTP requests from the command line to an instance."""

from __future__ import annotations

import json
from typing import Any
from typing import NamedTuple

import urllib3

__all__ = [
    "RequestError",
    "Response",
    "fetch",
    "send_request",
]


HTTP_OK = 200


class RequestError(Exception):
    """No response from the instance, or one that cannot be used."""


class Response(NamedTuple):
    """Status and decoded body of a response."""

    status: int
    body: Any


def send_request(
    address: str, method: str, path: str, body: Any = None, timeout=90.0
) -> Response:
    """Send a request to an instance.

    Parameters
    ----------
    address : str
        IP address and port, as ``127.0.0.1:7200``.
    method, path : str
        HTTP method, and path with the query.
    body : object, optional
        Body of the request; it is sent as JSON.
    timeout : float, default 90.0
        Seconds to wait for the response.

    Raises
    ------
    RequestError
        If there is no response, or the address is invalid.
    """
    encoded = None if body is None else json.dumps(body).encode()
    try:
        response = urllib3.request(
            method,
            f"http://{address}{path}",
            body=encoded,
            retries=False,
            timeout=timeout,
        )
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        raise RequestError(f"no answer from {address}: {exc}") from exc
    try:
        decoded = json.loads(response.data)
    except ValueError:
        decoded = response.data.decode("latin-1")
    return Response(response.status, decoded)


def fetch(address: str, path: str) -> dict[str, Any]:
    """Return the JSON object at a path of the operators' listener.

    Raises
    ------
    RequestError
        If there is no response, or not one with a JSON object and status 200.
    """
    response = send_request(address, "GET", path)
    if response.status != HTTP_OK or not isinstance(response.body, dict):
        raise RequestError(
            f"{address}{path} returned status {response.status}: "
            f"{response.body}"
        )
    return response.body
