"""The access log."""

from __future__ import annotations

from collections.abc import Callable

import loguru

from cardamompathd.filters import chain

__all__ = [
    "make_filter",
]


MAX_PATH_LOGGED = 128
"""Characters of a path that are logged."""


def make_filter(part: str, clock: Callable[[], float]) -> chain.Filter:
    """Make the filter that logs each request and its duration.

    Parameters
    ----------
    part : str
        Prefix of the log lines.
    clock : callable
        Returns the current time in seconds.
    """

    def log_access(
        req: chain.Request, call_next: chain.Handler
    ) -> chain.Response:
        started_at = clock()
        response = call_next(req)
        loguru.logger.debug(
            "{}: {} {} {} in {:.1f} ms",
            part,
            req.method,
            req.path[:MAX_PATH_LOGGED],
            response.status,
            (clock() - started_at) * 1000.0,
        )
        return response

    return log_access
