"""What operators choose of how batches share the executors.

With the defaults every instance decides as if these choices did not exist.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = [
    "AdmissionPolicy",
    "PlacementPolicy",
    "PoolPolicy",
    "RoomPolicy",
    "SharePolicy",
]


class RoomPolicy(NamedTuple):
    """Whether planners report the room that they have."""

    reports: bool = False


class SharePolicy(NamedTuple):
    """Shares of routes and failure domains while room is scarce."""

    enabled: bool = False
    least_share: float = 0.05
    """Minimum share of a service's capacity for each route, each domain and
    the largest tenth of the batches of a route."""
    route_weights: tuple[tuple[str, float], ...] = ()
    """Routes with a weight other than 1, and their weights."""
    domain_weights: tuple[tuple[str, float], ...] = ()


class AdmissionPolicy(NamedTuple):
    """How it is decided whether a batch can be in time."""

    forecast: bool = False
    """Whether the runs that are going on count, and when they end."""


class PlacementPolicy(NamedTuple):
    """Which executor a task starts on."""

    fitting: bool = False
    """Whether a task that needs no fast executor leaves it to others."""
    reservations: bool = False
    """Whether room is kept for large tasks that wait."""
    reservation_limit: float = 0.3
    """Seconds for which room is kept at most."""


class PoolPolicy(NamedTuple):
    """The choices of all parts."""

    room: RoomPolicy = RoomPolicy()
    shares: SharePolicy = SharePolicy()
    admission: AdmissionPolicy = AdmissionPolicy()
    placement: PlacementPolicy = PlacementPolicy()
