"""The access log."""

from __future__ import annotations

from collections.abc import Callable

import loguru

from cardamompathd.filters import chain

__all__ = [
    "make_filter",
]


def make_filter(clock: Callable[[], float]) -> chain.Filter:
    """Make the filter that logs each request with its duration."""

    def log_access(
        req: chain.Request, call_next: chain.Handler
    ) -> chain.Response:
        began = clock()
        response = call_next(req)
        loguru.logger.debug(
            "callers: {} {} {} in {:.1f} ms",
            req.method,
            req.path,
            response.status,
            (clock() - began) * 1000.0,
        )
        return response

    return log_access
