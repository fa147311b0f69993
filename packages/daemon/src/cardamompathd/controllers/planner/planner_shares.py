"""Shares of the groups of batches at a planner: their use and their demand.

What a group uses and asks for is computed from the batches of this planner,
so that adopted runs count after a takeover, and nothing is left of a batch
that was dropped.
"""

from __future__ import annotations

import collections
import math
from typing import NamedTuple

from cardamompath_core import batch_order
from cardamompath_core import fair_shares
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_plans

__all__ = [
    "Group",
    "ServiceShares",
    "ShareState",
    "decision_fields",
    "priority_of",
    "rank",
    "record_arrival",
    "reset",
    "review",
]

REPORT_INTERVAL = 1.0
"""Seconds between reports of the shares; borrowed capacity is returned within
that time."""
UNSEEN_TIME = 60.0
"""Seconds after which a weight is reported whose route or domain has not been
seen; many times the interval between batches of a route in use."""
REFRESH_INTERVAL = 0.02
"""Seconds for which use, demand and shares are taken as unchanged; a small
part of the time over which use is averaged.  With 400 waiting batches the
planner spends a few percent of its time on it."""
MAX_GROUPS = 32
"""Maximum number of routes, and of domains, that have shares of their own at
a service; further ones share one group."""
OTHERS = "(others)"
"""Name of the group of all further routes or domains."""


class Group(NamedTuple):
    """Batches that have a share together."""

    kind: str
    """``route``, ``domain``, or ``largest`` for the largest tenth of the
    batches of a route."""
    name: str
    """The route or the failure domain."""


class ServiceShares:
    """Use and demand of the groups at one service."""

    def __init__(self):
        self.usage = fair_shares.Usage()
        """By group, and by pair of priority and group."""
        self.demands: dict = {}
        """What the batches that can be in time have and wait for."""
        self.pending: dict[Group, float] = {}
        """What waits of the batches that are within a minimum."""
        self.levels: dict[tuple[int, str], float] = {}
        """Level of the fair shares by priority and kind of group."""
        self.minimums: dict[str, float] = {}
        """Minimum share of a group by its kind."""
        self.excess: dict[tuple, int] = {}
        """How many of the groups of a batch have no share left."""
        self.is_scarce = False
        self.was_scarce = False
        """Whether capacity was scarce at any time since the last report."""
        self.is_reported = False
        """Whether the last report told that capacity was scarce."""


class ShareState:
    """Shares at a planner.

    Parameters
    ----------
    policy : SharePolicy
        Weights and the minimum share.
    """

    def __init__(self, policy):
        self.weights = {
            Group(kind, name): weight
            for kind, pairs in (
                ("route", policy.route_weights),
                ("domain", policy.domain_weights),
            )
            for name, weight in pairs
        }
        self.least_share = policy.least_share
        self.services: dict[str, ServiceShares] = collections.defaultdict(
            ServiceShares
        )
        self.sizes: dict[Group, fair_shares.LargeSize] = {}
        """Size of the largest batches by route."""
        self.groups: set[Group] = set()
        """Routes and domains that have shares of their own."""
        self.computed_at = -math.inf
        """When the shares were computed."""
        self.fleet = None
        """The view from which `domains` was made."""
        self.domains: dict[str, str] = {}
        """Failure domain of each instance."""
        self.reported_at = -math.inf
        self.is_unseen_reported = False


def reset(state):
    """Forget use and demand, as this planner has given up its batches."""
    state.shares = ShareState(state.policy.shares)


def record_arrival(state, plan, now):
    """Find the groups of a new batch, and whether a minimum is free for it."""
    if not state.policy.shares.enabled:
        return
    shares = state.shares
    policy = plan.batch.policy
    route = _known_group(shares, "route", policy.route)
    domain = _known_group(shares, "domain", _domain_of(state, plan))
    size = shares.sizes.get(route)
    if size is None:
        size = shares.sizes[route] = fair_shares.LargeSize()
    plan.groups = (route, domain)
    work = len(plan.tasks) * plan.pool_time
    if size.observe(work):
        plan.groups += (Group("largest", route.name),)
    plan.ranked_groups = tuple(
        (policy.priority, group) for group in (route, domain)
    )
    _refresh(state, now)
    _guarantee(shares.services[policy.service], plan)


def rank(state, plan, urgency, now):
    """Return the sort key of a batch, with the shares of its groups."""
    _refresh(state, now)
    key = batch_order.sort_key(urgency, now)
    service = state.shares.services[plan.batch.policy.service]
    if not service.is_scarce:
        return fair_shares.rank(key, False, 0)
    excess = service.excess.get(plan.ranked_groups)
    if excess is None:
        excess = service.excess[plan.ranked_groups] = sum(
            _is_at_share(state.shares, service, ranked)
            for ranked in plan.ranked_groups
        )
    return fair_shares.rank(key, plan.is_guaranteed, excess)


def priority_of(state, plan):
    """Return the priority of which arriving work goes ahead of a batch."""
    service = state.shares.services.get(plan.batch.policy.service)
    if plan.is_guaranteed and service is not None and service.is_scarce:
        return fair_shares.GUARANTEED
    return plan.batch.policy.priority


def decision_fields(state, plan, now):
    """Return the figures of a batch's groups for the log.

    Empty unless the shares decide.  The figures are percent of the capacity.
    """
    service = state.shares.services.get(plan.batch.policy.service)
    if service is None or not service.is_scarce:
        return {}
    figures = {
        ranked[1].kind: [
            _percent(service.usage.average(ranked)),
            _percent(_fair_share(state.shares, service, ranked)),
        ]
        for ranked in plan.ranked_groups
    }
    return {
        "shares": figures,
        "guaranteed": plan.is_guaranteed,
        "shares_age_ms": round((now - state.shares.computed_at) * 1000.0),
    }


def review(state, now):
    """Update the use, and report the shares while capacity is scarce."""
    if not state.policy.shares.enabled:
        return []
    _refresh(state, now)
    shares = state.shares
    if now < shares.reported_at + REPORT_INTERVAL:
        return []
    shares.reported_at = now
    sends = _report_unseen(state, now)
    for name, service in shares.services.items():
        if service.was_scarce or service.is_reported:
            sends.append(_report(shares, name, service))
        service.is_reported = service.was_scarce
        service.was_scarce = False
    return sends


def _report(shares, name, service):
    return planner_log.decision(
        "shares",
        service=name,
        scarce=service.was_scarce,
        groups={
            f"{group.kind} {group.name}": _figures(shares, service, group)
            for group in sorted(_groups(service))
            if service.was_scarce
        },
        age_ms=round((shares.reported_at - shares.computed_at) * 1000.0),
    )


def _figures(shares, service, group):
    """Return share, use, borrowed and lent of a group, in percent."""
    known = [each for each in _groups(service) if each.kind == group.kind]
    if group.kind == "largest":
        part = service.minimums.get(group.kind, 0.0)
    else:
        total = sum(_weight(shares, each) for each in known)
        part = _weight(shares, group) / total if total else 0.0
    demand = service.demands.get(group, 0.0)
    use = service.usage.average(group)
    fair = sum(
        min(
            service.demands[ranked],
            _fair_share(shares, service, ranked),
        )
        for ranked in service.demands
        if ranked[1] == group
    )
    if group.kind == "largest":
        fair = min(demand, part)
    balance = fair_shares.balance(use, demand, part)
    return [
        _percent(value)
        for value in (fair, use, balance.borrowed, balance.lent)
    ]


def _report_unseen(state, now):
    """Report once the weights whose route or domain has not been seen."""
    shares = state.shares
    if shares.is_unseen_reported or now < state.began_at + UNSEEN_TIME:
        return []
    shares.is_unseen_reported = True
    unseen = sorted(
        f"{group.kind} {group.name}"
        for group in shares.weights
        if group not in shares.groups
    )
    if not unseen:
        return []
    return [planner_log.decision("weights without use", names=unseen)]


def _refresh(state, now):
    """Compute use, demand and shares from the batches, unless up to date."""
    shares = state.shares
    if now < shares.computed_at + REFRESH_INTERVAL:
        return
    shares.computed_at = now
    totals, candidates = _count_plans(state, now)
    in_use = collections.defaultdict(collections.Counter)
    demands = collections.defaultdict(collections.Counter)
    pending = collections.defaultdict(collections.Counter)
    for (name, groups, ranked), (used, wanted, kept) in totals.items():
        for group in groups + ranked:
            if used or wanted:
                in_use[name][group] += used
                demands[name][group] += used + wanted
            if kept:
                pending[name][group] += kept
    for name in shares.services.keys() | demands.keys():
        service = shares.services[name]
        service.usage.update(in_use[name], now)
        service.demands = demands[name]
        service.pending = pending[name]
        _divide(shares, service)
    candidates.sort(key=lambda candidate: candidate[0])
    for _, plan in candidates:
        _guarantee(shares.services[plan.batch.policy.service], plan)


def _count_plans(state, now):
    """Add up the batches with the same groups.

    Returns
    -------
    totals : dict
        What they use, what they wait for, and how much of that is within a
        minimum, by service, groups and groups within a priority.
    candidates : list
        The batches for which a minimum may be free, with their latest start.
    """
    totals = {}
    candidates = []
    for plan in state.plans.values():
        key = (plan.batch.policy.service, plan.groups, plan.ranked_groups)
        total = totals.get(key)
        if total is None:
            total = totals[key] = [0.0, 0.0, 0.0]
        total[0] += plan.pool_share * _running_count(plan)
        if not plan.waiting:
            continue
        urgency = planner_plans.urgency_of(plan)
        stage, _, latest_start = batch_order.sort_key(urgency, now)
        if stage > 1:
            # What cannot be in time takes no shares from what can.
            continue
        wanted = plan.pool_share * len(plan.waiting)
        total[1] += wanted
        if stage == 1 and plan.is_guaranteed:
            total[2] += wanted
        elif stage == 1:
            candidates.append((latest_start, plan))
    return totals, candidates


def _running_count(plan):
    """Return the number of tasks of a batch that executors may run."""
    count = len(plan.tasks) - plan.done_count - len(plan.waiting)
    if len(plan.step_remaining) > 1:
        count -= sum(
            remaining
            for number, remaining in enumerate(plan.step_remaining)
            if plan.is_blocked(number)
        )
    return max(0, count)


def _divide(shares, service):
    """Find whether capacity is scarce, and the shares if it is."""
    usage, demands = service.usage, service.demands
    totals = collections.Counter()
    for group, demand in demands.items():
        if group[0] == "route":
            totals["demand"] += demand
    service.is_scarce = totals["demand"] > 1.0
    service.was_scarce |= service.is_scarce
    service.levels = {}
    service.minimums = {}
    service.excess = {}
    if not service.is_scarce:
        return
    by_kind = collections.defaultdict(dict)
    uses = collections.Counter()
    for group in demands.keys() | set(usage.groups()):
        if isinstance(group, Group):
            totals[group.kind] += 1
            continue
        priority, (kind, _) = group
        use = usage.average(group)
        waiting = demands.get(group, 0.0) - usage.in_use.get(group, 0.0)
        by_kind[priority, kind][group[1]] = use + max(0.0, waiting)
        uses[priority, kind] += use
    for kind in ("route", "domain", "largest"):
        service.minimums[kind] = fair_shares.minimum_share(
            shares.least_share, totals[kind]
        )
    for (priority, kind), wanted in by_kind.items():
        # Running work of other priorities is not taken away, so that what
        # the batches of a priority have is what they can divide now.
        service.levels[priority, kind] = fair_shares.fill_level(
            wanted, shares.weights, uses[priority, kind]
        )


def _guarantee(service, plan):
    """Let a waiting batch use the minimum of its groups if one is free.

    It keeps that, so that what was admitted for it is not refused later.
    """
    if not service.is_scarce:
        return
    if any(_has_minimum(service, group) for group in plan.groups):
        plan.is_guaranteed = True
        wanted = plan.pool_share * len(plan.waiting)
        for group in plan.groups:
            service.pending[group] = service.pending.get(group, 0.0) + wanted


def _has_minimum(service, group):
    """Return whether a group has some of its minimum left."""
    minimum = service.minimums.get(group.kind, 0.0)
    use = service.usage.peak(group) + service.pending.get(group, 0.0)
    return not fair_shares.is_at_share(use, minimum)


def _is_at_share(shares, service, ranked):
    share = _fair_share(shares, service, ranked)
    limit = fair_shares.TOLERANCE * share
    return fair_shares.is_at_share(service.usage.average(ranked), limit)


def _fair_share(shares, service, ranked):
    """Return the most that a group may use before others come first."""
    priority, group = ranked
    level = service.levels.get((priority, group.kind), math.inf)
    return _weight(shares, group) * level


def _weight(shares, group):
    return shares.weights.get(group, 1.0)


def _groups(service):
    """Return the groups that have, want or recently had capacity."""
    known = service.demands.keys() | set(service.usage.groups())
    return {group for group in known if isinstance(group, Group)}


def _known_group(shares, kind, name):
    """Return the group of a name; their number is bounded."""
    group = Group(kind, name)
    if group in shares.groups:
        return group
    if sum(each.kind == kind for each in shares.groups) >= MAX_GROUPS:
        return Group(kind, OTHERS)
    shares.groups.add(group)
    return group


def _domain_of(state, plan):
    """Return the failure domain of the instance that answers the caller."""
    shares, view = state.shares, state.fleet
    if shares.fleet is not view:
        shares.fleet = view
        shares.domains = {
            member.name: member.domain
            for member in (*view.missing, *view.alive)
        }
    origin = next(iter(plan.origins))
    return shares.domains.get(origin.name, "")


def _percent(value):
    """Return a fraction in percent, None if it is not limited."""
    return None if value == math.inf else round(100.0 * value, 1)
