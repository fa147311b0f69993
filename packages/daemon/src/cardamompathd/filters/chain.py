"""Requests, responses, and the composition of filters."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

__all__ = [
    "Filter",
    "Handler",
    "JobOwner",
    "MAX_WAIT",
    "Request",
    "Response",
    "compose",
    "error_response",
    "wait_time",
]


MAX_WAIT = 60.0
"""Longest wait that a caller may request, in seconds."""


class Request(NamedTuple):
    """A request, independent of the front end that received it."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    read: Callable[[], bytes]
    """Reads the body; may be called only once."""
    length: int | None = 0
    """Declared length of the body in bytes; None for a chunked body."""
    body: Any = None
    """The decoded body; set by a filter."""
    wait: float | None = None
    """Seconds that the caller is willing to wait, if it said so; set by a
    filter."""
    may_wait: bool = True
    """Whether the handler may wait for the answer."""
    is_disconnected: Callable[[], bool] = bool
    """Returns whether the caller has closed the connection."""
    arrived_at: float = -math.inf
    """Earliest time at which it can have arrived, in seconds of the clock of
    the controllers; not known to every front end."""


class JobOwner(NamedTuple):
    """The other instance that owns the job of a request."""

    job: str
    address: tuple[str, int] | None = None
    """Its address for peers, if known."""


class Response(NamedTuple):
    """A response; the front end encodes `body`."""

    status: int
    body: Any
    headers: tuple[tuple[str, str], ...] = ()
    owner: JobOwner | None = None


Handler = Callable[[Request], Response]
Filter = Callable[[Request, Handler], Response]


def compose(filters: Sequence[Filter], handler: Handler) -> Handler:
    """Wrap a handler in filters; the first filter is the outermost."""
    for request_filter in reversed(filters):
        handler = functools.partial(request_filter, call_next=handler)
    return handler


def error_response(
    status: int, code: str, reason: str, retry_after: float | None = None
) -> Response:
    """Make the response to a request that is refused."""
    body = {"outcome": "refused", "code": code, "reason": reason}
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after is not None:
        body["retry_after"] = retry_after
        headers = (("Retry-After", str(max(1, round(retry_after)))),)
    return Response(status, body, headers)


def wait_time(req: Request, default: float) -> float:
    """Return the seconds that a request may wait for its answer."""
    return default if req.wait is None else req.wait
