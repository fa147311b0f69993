"""Hands requests for jobs of other instances to their owners."""

from __future__ import annotations

from collections.abc import Callable

from cardamompathd.filters import chain

__all__ = [
    "make_filter",
]


def make_filter(
    relay: Callable[[chain.Request, chain.Owner], chain.Response | None],
) -> chain.Filter:
    """Make the filter that asks the owner when another instance is it.

    When the owner cannot be asked, the answer is the one of this
    instance: pending.
    """

    def ask_owner(
        req: chain.Request, call_next: chain.Handler
    ) -> chain.Response:
        response = call_next(req)
        if response.owner is None:
            return response
        return relay(req, response.owner) or response

    return ask_owner
