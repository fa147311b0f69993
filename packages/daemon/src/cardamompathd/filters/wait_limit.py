"""Bounds the callers that wait for answers at the same time.

A place to wait is a token in a queue: a request takes one or goes on
without, and gives it back at its end.  No request waits for a place.
"""

from __future__ import annotations

import queue

from cardamompathd.filters import chain

__all__ = [
    "make_filter",
]


def make_filter(places: int) -> chain.Filter:
    """Make the filter that lets at most `places` requests wait.

    A request beyond that goes on with ``may_wait`` unset: its handler
    answers at once with what is known.
    """
    tokens: queue.SimpleQueue = queue.SimpleQueue()
    for _ in range(places):
        tokens.put(None)

    def bound_waiting(
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

    return bound_waiting


def _without_wait(req):
    query = {**req.query, "wait": "0"}
    return req._replace(may_wait=False, wait=0.0, query=query)
