"""Limits the number of callers that wait for answers at the same time.

A request takes a token from a queue and returns it at its end.  If no token
is left it goes on without one; no request waits for a token.
"""

from __future__ import annotations

import queue

from cardamompathd.filters import chain

__all__ = [
    "make_filter",
]


def make_filter(limit: int) -> chain.Filter:
    """Make the filter that lets at most `limit` requests wait.

    Further requests go on with ``may_wait`` false: their handler answers
    at once with the current state.
    """
    tokens: queue.SimpleQueue = queue.SimpleQueue()
    for _ in range(limit):
        tokens.put(None)

    def limit_waiting(
        req: chain.Request, call_next: chain.Handler
    ) -> chain.Response:
        try:
            tokens.get_nowait()
        except queue.Empty:
            return call_next(_without_wait(req))
        try:
            return call_next(req)
        finally:
            tokens.put(None)

    return limit_waiting


def _without_wait(req):
    query = {**req.query, "wait": "0"}
    return req._replace(may_wait=False, wait=0.0, query=query)
