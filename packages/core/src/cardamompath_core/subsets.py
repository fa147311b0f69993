"""Home backend servers of each instance.

Every instance works out the same assignment from the same lists, with
no message about it: the slots of the backend servers are dealt to the
live instances in equal numbers, those of the own failure domain first.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

__all__ = [
    "Node",
    "assign_home_slots",
]

HOMES = 24
"""Home backend servers that an instance has, where that leaves no
backend server without an instance."""


class Node(NamedTuple):
    """An instance or a backend server, as the assignment sees it."""

    name: str
    domain: str
    slots: int = 0


def assign_home_slots(
    servers: Sequence[Node], instances: Sequence[Node]
) -> dict[str, dict[str, int]]:
    """Deal the slots of backend servers to instances.

    Parameters
    ----------
    servers : sequence of Member
        Backend servers of one service.
    instances : sequence of Member
        Live instances.

    Returns
    -------
    dict
        From the name of an instance to its slots by backend server.
    """
    dealt = _Deal(servers, instances)
    by_domain = collections.defaultdict(list)
    for one in sorted(instances):
        by_domain[one.domain].append(one.name)
    owners = _near_owners(servers, by_domain)
    for server in sorted(servers):
        dealt.give(server, owners.get(server.name, ()))
    everyone = sorted(one.name for one in instances)
    for server in sorted(servers):
        dealt.give(server, everyone)
    return dealt.homes


class _Deal:
    """Slots dealt so far."""

    def __init__(self, servers, instances):
        names = sorted(one.name for one in instances)
        self.homes = {name: {} for name in names}
        total = sum(one.slots for one in servers)
        share, rest = divmod(total, max(1, len(names)))
        self.room = {
            name: share + (order < rest) for order, name in enumerate(names)
        }
        self.left = {one.name: one.slots for one in servers}

    def give(self, server: Node, names: Sequence[str]) -> None:
        """Deal what is left of a server to the instances with room."""
        while self.left[server.name]:
            open_to = [name for name in names if self.room[name]]
            if not open_to:
                return
            least = min(
                open_to,
                key=lambda name: (
                    self.homes[name].get(server.name, 0),
                    -self.room[name],
                    name,
                ),
            )
            own = self.homes[least]
            own[server.name] = own.get(server.name, 0) + 1
            self.room[least] -= 1
            self.left[server.name] -= 1


def _near_owners(
    servers: Sequence[Node], by_domain: Mapping[str, Sequence[str]]
) -> dict[str, list[str]]:
    """Return the instances of its failure domain that share a server."""
    owners = {}
    for domain, names in by_domain.items():
        near = [one for one in sorted(servers) if one.domain == domain]
        if not near:
            continue
        count = min(len(names), math.ceil(len(names) * HOMES / len(near)))
        most = math.ceil(len(near) * count / len(names))
        taken = dict.fromkeys(names, 0)
        for server in near:
            chosen = _pick(server.name, names, taken, most, count)
            owners[server.name] = chosen
    return owners


def _pick(server, names, taken, most, count):
    """Pick by highest hash among those that have room.

    A hash of the pair moves few servers when an instance comes or goes.
    """
    ranked = sorted(names, key=lambda name: _weight(server, name))
    chosen = [name for name in ranked if taken[name] < most][:count]
    for name in chosen:
        taken[name] += 1
    return chosen


def _weight(server, name):
    return xxhash.xxh64_intdigest(f"{server}/{name}".encode())
