"""Relays requests for jobs of other instances to their owners."""

from __future__ import annotations

from collections.abc import Callable

from cardamompathd.filters import chain

__all__ = [
    "make_filter",
]

RETRY_AFTER = 1
"""Seconds after which the caller should repeat the request."""


def make_filter(
    relay: Callable[[chain.Request, chain.JobOwner], chain.Response | None],
) -> chain.Filter:
    """Make the filter that relays requests to the owner of their job.

    If the owner cannot be reached, the response is the one of this
    instance: pending, with the time after which to repeat the request.
    """

    def relay_to_owner(
        req: chain.Request, call_next: chain.Handler
    ) -> chain.Response:
        response = call_next(req)
        if response.owner is None:
            return response
        return relay(req, response.owner) or _add_retry_after(response)

    return relay_to_owner


def _add_retry_after(response):
    if response.status != 202:
        return response
    header = ("Retry-After", str(RETRY_AFTER))
    return response._replace(
        body=response.body | {"retry_after": float(RETRY_AFTER)},
        headers=(*response.headers, header),
    )
