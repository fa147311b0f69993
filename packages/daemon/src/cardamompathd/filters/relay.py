"""Hands requests for jobs of other instances to their owners."""

from __future__ import annotations

from collections.abc import Callable

from cardamompathd.filters import chain

__all__ = [
    "make_filter",
]

RETRY_AFTER = 1
"""Seconds after which the owner may be asked for again."""


def make_filter(
    relay: Callable[[chain.Request, chain.JobOwner], chain.Response | None],
) -> chain.Filter:
    """Make the filter that asks the owner when another instance is it.

    When the owner cannot be asked, the answer is the one of this
    instance: pending, with the time after which to ask again.
    """

    def ask_owner(
        req: chain.Request, call_next: chain.Handler
    ) -> chain.Response:
        response = call_next(req)
        if response.owner is None:
            return response
        return relay(req, response.owner) or _ask_again(response)

    return ask_owner


def _ask_again(response):
    if response.status != 202:
        return response
    header = ("Retry-After", str(RETRY_AFTER))
    return response._replace(
        body=response.body | {"retry_after": float(RETRY_AFTER)},
        headers=(*response.headers, header),
    )
