"""Which instance plans, and for which executors.

Every instance computes the answer from the members that it knows to be
alive.  Who plans goes on; a place that is free goes to the member of the
largest size that runs longest, so that a restart never takes a planner's
work back from its successor.  A fleet with a planner or more for each
failure domain plans by domain, so that a domain that is cut off loses
nothing; a smaller one plans for the whole pool, as a few executors are
packed badly.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

__all__ = [
    "Member",
    "Place",
    "Planning",
    "arrange",
    "choose_planners",
    "near",
    "order_planners",
    "place_of",
    "planner_at",
    "planner_of",
    "planner_of_executor",
    "rank",
]

MEMBERS_PER_PLANNER = 8
"""Members for which one planner is enough; a planner with two dozen
executors and the traffic of eight members stays below half a core."""
SIZE_STEP = 1.5
"""Ratio of processors from which an instance counts as larger; smaller
differences are not worth moving a planner's work for."""


class Member(NamedTuple):
    """An instance as it describes itself."""

    name: str
    domain: str
    address: tuple[str, int]
    """Where it listens for peers."""
    started: int
    """Start of its life, in milliseconds since 1970."""
    leaving: bool = False
    power: int = 0
    """Thousandths of a core that one thread of it gets; 0: unknown."""
    slot: int = -1
    """Number of its place among the planners; -1: it does not plan."""


class Place(NamedTuple):
    """A place of a planner, and with it a share of the executors."""

    domain: str
    """Empty when it is one for the whole pool."""
    slot: int
    count: int
    """Places that share the same executors."""


class Planning(NamedTuple):
    """The members that plan."""

    planners: tuple[Member, ...] = ()
    by_domain: bool = False
    """Whether each plans for executors of its own failure domain."""
    silent: frozenset[str] = frozenset()
    """Failure domains with members that may be behind a partition."""


def arrange(
    alive: Sequence[Member],
    missing: Sequence[Member] = (),
    census: Mapping[str, int] | None = None,
) -> Planning:
    """Return who plans.

    Parameters
    ----------
    alive, missing : sequence of Member
        Members that are heard, and those that fell silent.
    census : mapping, optional
        Members of each failure domain that were heard lately, those that
        are gone included, so that a restart changes no number.
    """
    domains = dict(census or {})
    whole = _planners_for(sum(domains.values()))
    if len(domains) < 2 or whole < len(domains):
        return Planning(choose_planners(alive))
    planners: list[Member] = []
    for domain, count in sorted(domains.items()):
        members = [one for one in alive if one.domain == domain]
        planners += _fill_places(members, _planners_for(count))
    silent = frozenset(one.domain for one in missing)
    return Planning(tuple(planners), True, silent)


def choose_planners(alive: Sequence[Member]) -> tuple[Member, ...]:
    """Return the members that plan for a whole pool, the first first."""
    ranked = rank(alive)
    return tuple(ranked[: _planners_for(len(ranked))])


def rank(alive: Sequence[Member]) -> list[Member]:
    """Return members in the order in which they are to plan.

    Members that leave plan only where no other is left, as in a failure
    domain that is cut off while all its instances are restarted.
    """
    staying = [one for one in alive if not one.leaving]
    return sorted(staying or alive, key=_precedence)


def _fill_places(members, count):
    """Return a planner for each place, in the order of the places."""
    ranked = rank(members)
    places: list[Member | None] = [None] * count
    for one in ranked:
        if 0 <= one.slot < count and places[one.slot] is None:
            places[one.slot] = one
    free = iter([one for one in ranked if one not in places])
    filled = [next(free, None) if one is None else one for one in places]
    return [one for one in filled if one is not None]


def place_of(name: str, planning: Planning) -> Place | None:
    """Return the place of a planner.

    None when it has none, or when several share the whole pool: a loss
    then moves executors between the others.
    """
    if not planning.by_domain:
        planners = planning.planners
        sole = len(planners) == 1 and planners[0].name == name
        return Place("", 0, 1) if sole else None
    for one in planning.planners:
        if one.name == name:
            planners = near(planning.planners, one.domain, planning)
            return Place(one.domain, planners.index(one), len(planners))
    return None


def planner_at(place: Place, planning: Planning) -> Member | None:
    """Return who has a place now, if that place is still there."""
    for one in planning.planners:
        if place_of(one.name, planning) == place:
            return one
    return None


def near(
    members: Sequence[Member], domain: str, planning: Planning
) -> list[Member]:
    """Return the members that share planners with a failure domain."""
    if not planning.by_domain:
        return list(members)
    return [one for one in members if one.domain == domain]


def _planners_for(members):
    return -(-members // MEMBERS_PER_PLANNER)


def _precedence(member):
    size = math.floor(math.log(max(member.power, 1), SIZE_STEP))
    return (member.slot < 0, -size, member.started, member.name)


def planner_of_executor(
    executor: str, domain: str, planning: Planning
) -> Member | None:
    """Return the planner of an executor, if there is to be one.

    The executors of a failure domain without a planner go to those of
    the others, unless its members may be alive behind a partition.
    """
    if not planning.by_domain:
        return planner_of(executor, planning.planners)
    planners = near(planning.planners, domain, planning)
    if planners:
        number = xxhash.xxh64_intdigest(executor.encode()) % len(planners)
        return planners[number]
    if domain in planning.silent:
        return None
    return planner_of(executor, planning.planners)


def planner_of(executor: str, planners: Sequence[Member]) -> Member | None:
    """Return the planner of an executor by rendezvous hashing."""
    if len(planners) <= 1:
        return planners[0] if planners else None
    return max(planners, key=lambda one: _score(executor, one.name))


def order_planners(
    batch: str, domain: str, planning: Planning
) -> list[Member]:
    """Return the planners in the order in which a batch tries them."""

    def key(one):
        far = planning.by_domain and one.domain != domain
        return (far, -_score(batch, one.name))

    return sorted(planning.planners, key=key)


def _score(executor, planner):
    return xxhash.xxh64_intdigest(f"{planner}/{executor}".encode())
