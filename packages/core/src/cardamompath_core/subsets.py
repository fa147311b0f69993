"""Subsetting: assignment of home backend servers to instances.

Every instance computes the same assignment from the same lists, without
communication.  The slots of the backend servers are divided equally among
the live instances; slots in an instance's own failure domain come first.
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

HOME_SERVERS = 24
"""Target number of home backend servers per instance.  It is exceeded
where a backend server would otherwise belong to no instance."""


class Node(NamedTuple):
    """An instance or a backend server.  Instances have no slots."""

    name: str
    domain: str
    slots: int = 0


def assign_home_slots(
    servers: Sequence[Node], instances: Sequence[Node]
) -> dict[str, dict[str, int]]:
    """Assign the slots of backend servers to instances.

    Parameters
    ----------
    servers : sequence of Node
        Backend servers of one service.
    instances : sequence of Node
        Live instances.

    Returns
    -------
    dict
        Number of slots by name of the instance and of the backend server.
    """
    assignment = _Assignment(servers, instances)
    by_domain = collections.defaultdict(list)
    for instance in sorted(instances):
        by_domain[instance.domain].append(instance.name)
    owners = _local_owners(servers, by_domain)
    for server in sorted(servers):
        assignment.assign(server, owners.get(server.name, ()))
    all_names = sorted(instance.name for instance in instances)
    for server in sorted(servers):
        assignment.assign(server, all_names)
    return assignment.homes


class _Assignment:
    """Slots assigned so far."""

    def __init__(self, servers, instances):
        names = sorted(instance.name for instance in instances)
        self.homes = {name: {} for name in names}
        total = sum(server.slots for server in servers)
        share, rest = divmod(total, max(1, len(names)))
        self.wanted = {
            name: share + (order < rest) for order, name in enumerate(names)
        }
        self.unassigned = {server.name: server.slots for server in servers}

    def assign(self, server: Node, names: Sequence[str]) -> None:
        """Assign a server's remaining slots to instances that want slots."""
        while self.unassigned[server.name]:
            candidates = [name for name in names if self.wanted[name]]
            if not candidates:
                return
            chosen = min(
                candidates,
                key=lambda name: (
                    self.homes[name].get(server.name, 0),
                    -self.wanted[name],
                    name,
                ),
            )
            home = self.homes[chosen]
            home[server.name] = home.get(server.name, 0) + 1
            self.wanted[chosen] -= 1
            self.unassigned[server.name] -= 1


def _local_owners(
    servers: Sequence[Node], by_domain: Mapping[str, Sequence[str]]
) -> dict[str, list[str]]:
    """Return the instances of its failure domain that share a server."""
    owners = {}
    for domain, names in by_domain.items():
        local = [node for node in sorted(servers) if node.domain == domain]
        if not local:
            continue
        count = min(
            len(names), math.ceil(len(names) * HOME_SERVERS / len(local))
        )
        limit = math.ceil(len(local) * count / len(names))
        taken = dict.fromkeys(names, 0)
        for server in local:
            chosen = _choose_owners(server.name, names, taken, limit, count)
            owners[server.name] = chosen
    return owners


def _choose_owners(server, names, taken, limit, count):
    """Choose the instances with the lowest hashes among those below limit.

    Hashing each pair of server and instance moves few servers when an
    instance joins or leaves.
    """
    ranked = sorted(names, key=lambda name: _weight(server, name))
    chosen = [name for name in ranked if taken[name] < limit][:count]
    for name in chosen:
        taken[name] += 1
    return chosen


def _weight(server, name):
    return xxhash.xxh64_intdigest(f"{server}/{name}".encode())
