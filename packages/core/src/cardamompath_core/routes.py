"""Routes from what a caller asks for to the service that runs it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import batches

__all__ = [
    "Route",
    "RouteTable",
    "make_table",
]


class Route(NamedTuple):
    """Where batches under one prefix go."""

    host: str
    prefix: str
    timeout: float
    """Most seconds that a batch may take; 0 for no limit."""
    policy: batches.RoutePolicy


class RouteTable(NamedTuple):
    """The routes of one version of the desired configuration."""

    version: int
    by_host: dict[str, tuple[Route, ...]]
    """Routes of each host, the longest prefix first."""
    services: tuple[str, ...] = ()

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def make_table(
    version: int, found: Sequence[Route], services: Sequence[str] = ()
) -> RouteTable:
    """Make the table of one version."""
    by_host: dict[str, list[Route]] = {}
    for route in found:
        by_host.setdefault(route.host.lower(), []).append(route)
    return RouteTable(
        version,
        {
            host: tuple(
                sorted(some, key=lambda one: len(one.prefix), reverse=True)
            )
            for host, some in by_host.items()
        },
        tuple(services),
    )
