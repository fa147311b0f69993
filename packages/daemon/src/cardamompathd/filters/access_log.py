"""The access log."""

from __future__ import annotations

from collections.abc import Callable

import loguru

from cardamompathd.filters import chain

__all__ = [
    "make_filter",
]


MAX_LOGGED = 128
"""Longest path that is logged, in characters."""


def make_filter(part: str, clock: Callable[[], float]) -> chain.Filter:
    """Make the filter that logs each request with its duration.

    Parameters
    ----------
    part : str
        Prefix of the lines.
    clock : callable
        Returns the present time in seconds.
    """

    def log_access(
        req: chain.Request, call_next: chain.Handler
    ) -> chain.Response:
        began = clock()
        response = call_next(req)
        loguru.logger.debug(
            "{}: {} {} {} in {:.1f} ms",
            part,
            req.method,
            req.path[:MAX_LOGGED],
            response.status,
            (clock() - began) * 1000.0,
        )
        return response

    return log_access
