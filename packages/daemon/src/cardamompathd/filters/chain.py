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
    "Request",
    "Response",
    "compose",
    "fault",
]


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
    wait: float = 0.0
    """Seconds that the caller is ready to wait for an answer."""
    may_wait: bool = True
    """Whether the handler may wait at all."""


class Response(NamedTuple):
    """What to answer; `body` is encoded by the front end."""

    status: int
    body: Any
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Response]
Filter = Callable[[Request, Handler], Response]


def compose(filters: Sequence[Filter], handler: Handler) -> Handler:
    """Wrap a handler in filters; the first filter sees a request first."""
    for one in reversed(filters):
        handler = functools.partial(one, call_next=handler)
    return handler


def fault(
    status: int, code: str, reason: str, retry_after: float | None = None
) -> Response:
    """Make the response to a request that is not carried out."""
    body = {"outcome": "refused", "code": code, "reason": reason}
    headers: tuple[tuple[str, str], ...] = ()
    if retry_after is not None:
        body["retry_after"] = retry_after
        headers = (("Retry-After", str(max(1, round(retry_after)))),)
    return Response(status, body, headers)
