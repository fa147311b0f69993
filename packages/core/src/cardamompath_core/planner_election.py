"""Choice of the instances that plan, and assignment of executors to them.

Every instance computes the result from the members that it knows to be
alive.  A planner keeps its role as long as it is alive; a free shard goes
to the largest member and, among those of equal size, to the one that has
run longest, so that a restarted planner never takes its work back from
its successor.

A fleet that needs at least one planner for each failure domain plans by
domain, so that a domain that is partitioned off loses nothing.  A smaller
fleet plans for the whole pool, because tasks pack badly onto few
executors.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

__all__ = [
    "Member",
    "PlannerAssignment",
    "Shard",
    "assign_planners",
    "choose_planners",
    "members_for_domain",
    "order_planners",
    "planner_of",
    "planner_of_executor",
    "planner_of_shard",
    "rank_candidates",
    "shard_of",
]

MEMBERS_PER_PLANNER = 8
"""Number of members that one planner serves.  A planner with two dozen
executors and the traffic of eight members uses less than half a core."""
POOL_MEMBERS_PER_PLANNER = 12
"""The same for a whole pool if threads are fast: a planner that has every
executor packs tasks better, and its successor takes over without a wait."""
FAST_THREAD_MILLICORES = 500
"""CPU of a thread, in thousandths of a core, from which it counts as fast."""
SIZE_STEP = 1.5
"""Ratio of CPU speeds from which an instance counts as larger.  Moving a
planner's work does not pay off for smaller differences."""


class Member(NamedTuple):
    """An instance as it describes itself."""

    name: str
    domain: str
    address: tuple[str, int]
    """Address on which it listens for peers."""
    started: int
    """Start time of the process, in milliseconds since 1970."""
    leaving: bool = False
    thread_millicores: int = 0
    """CPU that one of its threads gets, in thousandths of a core; 0 if
    unknown."""
    shard_number: int = -1
    """Number of the shard that it plans; -1 if it is not a planner."""


class Shard(NamedTuple):
    """The share of the executors that one planner is responsible for."""

    domain: str
    """Failure domain of the executors; empty for the whole pool."""
    number: int
    count: int
    """Number of shards that the domain is divided into."""


class PlannerAssignment(NamedTuple):
    """The members that plan."""

    planners: tuple[Member, ...] = ()
    by_domain: bool = False
    """Whether each plans only for executors of its own failure domain."""
    silent_domains: frozenset[str] = frozenset()
    """Failure domains with members that may be alive behind a network
    partition."""


def assign_planners(
    alive: Sequence[Member],
    missing: Sequence[Member] = (),
    domain_sizes: Mapping[str, int] | None = None,
) -> PlannerAssignment:
    """Return the members that plan.

    Parameters
    ----------
    alive, missing : sequence of Member
        Members whose heartbeats arrive, and those that fell silent.
    domain_sizes : mapping, optional
        Number of members heard recently in each failure domain, including
        stopped ones, so that a restart does not change the number of
        planners.
    """
    domains = dict(domain_sizes or {})
    pool_planner_count = _planner_count(sum(domains.values()))
    if len(domains) < 2 or pool_planner_count < len(domains):
        return PlannerAssignment(choose_planners(alive))
    planners: list[Member] = []
    for domain, count in sorted(domains.items()):
        members = [member for member in alive if member.domain == domain]
        planners += _fill_shards(members, _planner_count(count))
    silent = frozenset(member.domain for member in missing)
    return PlannerAssignment(tuple(planners), True, silent)


def choose_planners(alive: Sequence[Member]) -> tuple[Member, ...]:
    """Return the planners of a whole pool, highest precedence first."""
    ranked = rank_candidates(alive)
    if not ranked:
        return ()
    members_per_planner = MEMBERS_PER_PLANNER
    if ranked[0].thread_millicores >= FAST_THREAD_MILLICORES:
        members_per_planner = POOL_MEMBERS_PER_PLANNER
    return tuple(ranked[: -(-len(ranked) // members_per_planner)])


def rank_candidates(alive: Sequence[Member]) -> list[Member]:
    """Return members in the order in which they become planners.

    Members that are leaving plan only where no other is left, as in a
    partitioned failure domain while all its instances are restarted.
    """
    staying = [member for member in alive if not member.leaving]
    return sorted(staying or alive, key=_precedence)


def _fill_shards(members, count):
    """Return a planner for each shard, in the order of the shards."""
    ranked = rank_candidates(members)
    shards: list[Member | None] = [None] * count
    for member in ranked:
        if 0 <= member.shard_number < count and (
            shards[member.shard_number] is None
        ):
            shards[member.shard_number] = member
    free = iter([member for member in ranked if member not in shards])
    filled = [
        next(free, None) if member is None else member for member in shards
    ]
    return [member for member in filled if member is not None]


def shard_of(name: str, assignment: PlannerAssignment) -> Shard | None:
    """Return the shard of a member.

    Returns None if the member does not plan, or if several planners share
    the whole pool: there, the loss of one moves executors among the
    others.
    """
    if not assignment.by_domain:
        planners = assignment.planners
        is_sole = len(planners) == 1 and planners[0].name == name
        return Shard("", 0, 1) if is_sole else None
    for member in assignment.planners:
        if member.name == name:
            planners = members_for_domain(
                assignment.planners, member.domain, assignment
            )
            return Shard(member.domain, planners.index(member), len(planners))
    return None


def planner_of_shard(
    shard: Shard, assignment: PlannerAssignment
) -> Member | None:
    """Return the current planner of a shard, if the shard still exists."""
    for member in assignment.planners:
        if shard_of(member.name, assignment) == shard:
            return member
    return None


def members_for_domain(
    members: Sequence[Member], domain: str, assignment: PlannerAssignment
) -> list[Member]:
    """Return the members served by the same planners as a domain."""
    if not assignment.by_domain:
        return list(members)
    return [member for member in members if member.domain == domain]


def _planner_count(members):
    return -(-members // MEMBERS_PER_PLANNER)


def _precedence(member):
    size = math.floor(math.log(max(member.thread_millicores, 1), SIZE_STEP))
    return (member.shard_number < 0, -size, member.started, member.name)


def planner_of_executor(
    executor: str, domain: str, assignment: PlannerAssignment
) -> Member | None:
    """Return the planner of an executor, if it is to have one.

    Executors of a failure domain without a planner go to the planners of
    other domains, unless its members may be alive behind a partition.
    """
    if not assignment.by_domain:
        return planner_of(executor, assignment.planners)
    planners = members_for_domain(assignment.planners, domain, assignment)
    if planners:
        number = xxhash.xxh64_intdigest(executor.encode()) % len(planners)
        return planners[number]
    if domain in assignment.silent_domains:
        return None
    return planner_of(executor, assignment.planners)


def planner_of(executor: str, planners: Sequence[Member]) -> Member | None:
    """Return the planner of an executor by rendezvous hashing."""
    if len(planners) <= 1:
        return planners[0] if planners else None
    return max(planners, key=lambda member: _score(executor, member.name))


def order_planners(
    batch: str, domain: str, assignment: PlannerAssignment
) -> list[Member]:
    """Return the planners in the order in which a batch is sent to them.

    Planners of the own failure domain come first if planning is by
    domain.
    """

    def key(member):
        remote = assignment.by_domain and member.domain != domain
        return (remote, -_score(batch, member.name))

    return sorted(assignment.planners, key=key)


def _score(key, planner):
    return xxhash.xxh64_intdigest(f"{planner}/{key}".encode())
