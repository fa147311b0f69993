"""Routes from host and path of a request to the service that runs it."""

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
    """Service and policy for the batches under one path prefix."""

    host: str
    prefix: str
    timeout: float
    """Maximum duration of a batch in seconds; 0 for no limit."""
    policy: batches.RoutePolicy


class RouteTable(NamedTuple):
    """Routes in one version of the desired configuration."""

    version: int
    by_host: dict[str, tuple[Route, ...]]
    """Routes of each host in lower case, the longest prefix first."""
    services: tuple[str, ...] = ()

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def make_table(
    version: int, routes: Sequence[Route], services: Sequence[str] = ()
) -> RouteTable:
    """Make the route table of one version."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return RouteTable(
        version,
        {
            host: tuple(
                sorted(
                    host_routes,
                    key=lambda route: len(route.prefix),
                    reverse=True,
                )
            )
            for host, host_routes in by_host.items()
        },
        tuple(services),
    )
