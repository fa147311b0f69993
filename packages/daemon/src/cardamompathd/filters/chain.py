"""Requests, responses, and the composition of filters."""

from __future__ import annotations

import functools
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

__all__ = [
    "Filter",
    "Handler",
    "MAX_WAIT",
    "JobOwner",
    "Request",
    "Response",
    "compose",
    "error_response",
    "wait_time",
]


MAX_WAIT = 60.0
"""Longest time that a caller waits on one connection, in seconds."""


class Request(NamedTuple):
    """A request, free of the front end that brought it."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    read: Callable[[], bytes]
    """Reads the body; may be called once."""
    length: int | None = 0
    """Declared length of the body in bytes; None when undeclared."""
    body: Any = None
    """The decoded body, once a filter decoded it."""
    wait: float | None = None
    """Seconds that the caller is ready to wait, if it said so."""
    may_wait: bool = True
    """Whether the handler may wait at all."""
    is_disconnected: Callable[[], bool] = bool
    """Whether the caller has closed its connection."""


class JobOwner(NamedTuple):
    """The instance that has the answer, when it is another one."""

    job: str
    address: tuple[str, int] | None = None
    """Where it listens for peers, if that is known."""


class Response(NamedTuple):
    """What to answer; `body` is encoded by the front end."""

    status: int
    body: Any
    headers: tuple[tuple[str, str], ...] = ()
    owner: JobOwner | None = None


Handler = Callable[[Request], Response]
Filter = Callable[[Request, Handler], Response]


def compose(filters: Sequence[Filter], handler: Handler) -> Handler:
    """Wrap a handler in filters; the first filter sees a request first."""
    for one in reversed(filters):
        handler = functools.partial(one, call_next=handler)
    return handler


def error_response(
    status: int, code: str, reason: str, retry_after: float | None = None
) -> Response:
    """Make the response to a request that is not carried out."""
    body = {"outcome": "refused", "code": code, "reason": reason}
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after is not None:
        body["retry_after"] = retry_after
        headers = (("Retry-After", str(max(1, round(retry_after)))),)
    return Response(status, body, headers)


def wait_time(req: Request, default: float) -> float:
    """Return the seconds for which a request may wait for its answer."""
    return default if req.wait is None else req.wait
