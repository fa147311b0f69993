"""Checks the path and the query of requests."""

from __future__ import annotations

import math

from cardamompathd.filters import chain

__all__ = [
    "limit_paths",
    "read_wait",
]

MAX_PATH = 512
"""Longest accepted path, in characters."""


def limit_paths(
    req: chain.Request, call_next: chain.Handler
) -> chain.Response:
    """Reject paths that are longer than any path of a handler."""
    if len(req.path) > MAX_PATH:
        reason = f"path of {len(req.path)} characters; the limit is {MAX_PATH}"
        return chain.error_response(414, "path_too_long", reason)
    return call_next(req)


def read_wait(req: chain.Request, call_next: chain.Handler) -> chain.Response:
    """Parse ``wait`` of the query into `Request.wait`."""
    text = req.query.get("wait")
    if text is None:
        return call_next(req)
    try:
        wait = float(text)
    except ValueError:
        wait = math.nan
    if not 0.0 <= wait <= chain.MAX_WAIT:
        reason = (
            f"'wait' is {text[:64]!r}; it must be 0 to {chain.MAX_WAIT:g} "
            "seconds"
        )
        return chain.error_response(400, "bad_query", reason)
    return call_next(req._replace(wait=wait))
