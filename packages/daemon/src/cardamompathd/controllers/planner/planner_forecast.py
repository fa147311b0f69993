"""Forecast of when batches start at a planner, and the error of it.

Capacity events are kept by executor and by size of a task, and computed again
where runs have started or ended, or were expected to end by now.
"""

from __future__ import annotations

import collections
import heapq
import math
import operator
import statistics
from typing import Any
from typing import NamedTuple

from cardamompath_core import admission_forecast
from cardamompath_core import batch_order
from cardamompath_core import executors
from cardamompath_core import run_ends
from cardamompathd.controllers.planner import planner_ends
from cardamompathd.controllers.planner import planner_log
from cardamompathd.controllers.planner import planner_order
from cardamompathd.controllers.planner import planner_placement
from cardamompathd.controllers.planner import planner_shares

__all__ = [
    "Forecast",
    "ForecastState",
    "admission_fields",
    "book_return",
    "compare",
    "forecast",
    "forecast_waiting",
    "log_fields",
    "note",
    "reset",
    "take",
]

MAX_PROFILES = 16
"""Maximum number of task sizes for which capacity events are kept; four
doublings of the CPU."""
MAX_UPDATES = 24
"""Maximum number of executors whose runs are forecast again for one decision;
a quarter of the millisecond that it may take."""
MAX_TICK_UPDATES = 100
"""The same for a check of all waiting batches, which is made every 50 ms."""
UNUSABLE_TIME = 0.05
"""Seconds after which an executor that is not usable is looked at again."""
MAX_PENDING = 4096
"""Maximum number of batches whose forecasts are still to be compared."""
MAX_ERRORS = 200
"""Maximum number of errors in one log line."""


class Forecast(NamedTuple):
    """When a batch is expected to start, and by which figures."""

    start: float
    """When its last waiting task starts, in seconds; infinite if beyond the
    horizon."""
    raw_wait: float
    """Seconds until then without the correction."""
    batches_ahead: int
    tasks_ahead: int
    work_ahead: float
    """Seconds that all executors take for them."""
    age: float
    """Seconds since the oldest of the capacity events was computed."""


class _Runs(NamedTuple):
    """The forecast of the runs of an executor."""

    free: executors.Resources
    """Its free resources then; every start and end replaces them."""
    ends: tuple[admission_forecast.RunEnd, ...]
    due: float
    """From when on the forecast does not hold, in seconds."""
    computed_at: float


class _Profile:
    """Capacity events for one size of tasks."""

    __slots__ = ("capacity", "versions")

    def __init__(self):
        self.capacity = admission_forecast.CapacityProfile()
        self.versions: dict[str, _Runs] = {}
        """From which forecast the events of each executor are."""


class _Pending(NamedTuple):
    """An admitted batch that was forecast to wait."""

    plan: Any
    predicted: Forecast
    admitted_at: float


class ForecastState:
    """What a planner keeps for its forecasts; lost with it."""

    def __init__(self):
        self.runs: dict[str, _Runs] = {}
        """By name of the executor."""
        self.profiles: collections.OrderedDict[Any, _Profile] = (
            collections.OrderedDict()
        )
        """By service, label and size of a task; the last used is last."""
        self.ranks: dict[str, tuple[Any, bool]] = {}
        """Rank of each waiting batch, and whether it had started then."""
        self.pending: collections.OrderedDict[str, _Pending] = (
            collections.OrderedDict()
        )
        self.biases: collections.defaultdict[int, admission_forecast.Bias] = (
            collections.defaultdict(admission_forecast.Bias)
        )
        """By priority."""
        self.returns = admission_forecast.Returns()


def reset(state):
    """Forget all forecasts, as this planner has given up its batches."""
    state.forecast = ForecastState()


def forecast(state, plan, now):
    """Return the `Forecast` of a new batch, None if no capacity is known."""
    if not plan.waiting:
        return None
    profile = _update_profile(state, plan, now, MAX_UPDATES)
    total = profile.capacity.total() if profile else 0.0
    if total <= 0.0:
        return None
    ahead, batches_ahead, work_ahead = _work_ahead(state, plan, total, now)
    slot_time = _slot_time(plan, total)
    *_, first, last = admission_forecast.expected_waits(
        profile.capacity.upcoming(now),
        (
            *ahead,
            admission_forecast.Work(1, slot_time),
            admission_forecast.Work(len(plan.waiting) - 1, slot_time),
        ),
    )
    demand = state.demand.above(planner_shares.priority_of(state, plan), now)
    wait = math.inf
    if last < math.inf:
        # Once it has begun, it comes before what arrives then.
        wait = batch_order.expected_wait(first, demand) + last - first
    factor = state.forecast.biases[plan.batch.policy.priority].factor
    return Forecast(
        now + wait * factor,
        wait,
        batches_ahead,
        sum(work.tasks for work in ahead),
        work_ahead,
        now - min(map(_computed_at, profile.versions.values())),
    )


def forecast_waiting(state, now):
    """Return when the last task of each waiting batch starts, by its name.

    Those that cannot be in time take no capacity from those behind them, as
    they are refused.
    """
    for known_size in (False, True):
        # The tables are computed here and not in the first decision.
        run_ends.remaining(0.0, 1.0, known_size)
    groups = collections.defaultdict(list)
    for plan in state.plans.values():
        if plan.waiting:
            key = _rank(state, plan, now)
            label = plan.batch.steps[plan.waiting[0].step].label
            group = groups[plan.batch.policy.service, label]
            group.append((key, plan))
    starts = {}
    for waiting in groups.values():
        waiting.sort(key=operator.itemgetter(0))
        plans = [plan for _, plan in waiting]
        # The smallest tasks stand for all, so that none is refused for
        # capacity that only others lack.
        smallest = min(plans, key=_min_cpu)
        profile = _update_profile(
            state, smallest, now, MAX_TICK_UPDATES, recheck=True
        )
        total = profile.capacity.total() if profile else 0.0
        if total <= 0.0:
            continue
        waits = admission_forecast.expected_waits(
            profile.capacity.upcoming(now),
            [
                admission_forecast.Work(
                    len(plan.waiting),
                    _slot_time(plan, total),
                    _start_limit(plan, now),
                )
                for plan in plans
            ],
        )
        for plan, wait in zip(plans, waits, strict=True):
            starts[plan.name] = now + wait
    return starts


def note(state, plan, predicted, now):
    """Keep the forecast of a new batch until its start or its refusal."""
    pending = state.forecast.pending
    pending[plan.name] = _Pending(plan, predicted, now)
    while len(pending) > MAX_PENDING:
        pending.popitem(last=False)


def take(state, plan, now):
    """Return the forecast for a batch that is refused, None if unknown.

    That of an admitted batch is made again, as the former one was wrong.
    """
    entry = state.forecast.pending.pop(plan.name, None)
    if entry is not None and entry.admitted_at == now:
        return entry.predicted
    return forecast(state, plan, now)


def admission_fields(state, plan, now):
    """Return the figures by which a new batch was admitted, if any."""
    entry = state.forecast.pending.get(plan.name)
    return log_fields(entry.predicted if entry else None, now)


def log_fields(predicted, now):
    """Return the figures of a forecast for the decision log."""
    if predicted is None:
        return {}
    wait = predicted.start - now
    return {
        "start_in_ms": round(wait * 1000.0) if wait < math.inf else None,
        "batches_ahead": predicted.batches_ahead,
        "tasks_ahead": predicted.tasks_ahead,
        "work_ahead_ms": round(predicted.work_ahead * 1000.0),
        "estimate_age_ms": round(predicted.age * 1000.0),
    }


def compare(state, now):
    """Compare forecasts with actual starts; return the line of the errors."""
    own = state.forecast
    errors = []
    for name, (plan, predicted, admitted_at) in list(own.pending.items()):
        is_known = state.plans.get(name) is plan
        if plan.waiting and is_known:
            continue
        del own.pending[name]
        if plan.waiting:
            # It has ended otherwise; when it would have started is unknown.
            continue
        started_at = max(task.started_at for task in plan.tasks)
        actual = max(0.0, started_at - admitted_at)
        bias = own.biases[plan.batch.policy.priority]
        bias.observe(predicted.raw_wait, actual)
        errors.append(started_at - predicted.start)
    _forget_ended(state)
    if not errors:
        return []
    return [
        planner_log.decision(
            "forecasts compared",
            count=len(errors),
            median_error_ms=round(statistics.median(errors) * 1000.0),
            errors_ms=[round(error * 1000.0) for error in errors[:MAX_ERRORS]],
            factors={
                priority: round(bias.factor, 3)
                for priority, bias in sorted(own.biases.items())
            },
        )
    ]


def book_return(state, plan, start, now):
    """Return after how many seconds a refused caller may retry."""
    earliest = batch_order.retry_delay(planner_order.urgency_of(plan), start)
    at = state.forecast.returns.book(
        plan.batch.policy.priority,
        now + earliest,
        now + batch_order.MAX_RETRY_DELAY,
        len(plan.tasks) * plan.pool_time,
    )
    return at - now


def _forget_ended(state):
    """Forget the ranks of batches and the runs of executors that are gone."""
    own = state.forecast
    for name in own.ranks.keys() - state.plans.keys():
        del own.ranks[name]
    for name in own.runs.keys() - state.executors.keys():
        del own.runs[name]
    for profile in own.profiles.values():
        for name in profile.versions.keys() - state.executors.keys():
            del profile.versions[name]
            profile.capacity.replace(name, ())


def _work_ahead(state, plan, total, now):
    """Return the work of its service before a batch, by group of ranks."""
    service = plan.batch.policy.service
    key = planner_order.rank(state, plan, now)
    groups: dict[Any, list] = {}
    batches_ahead = 0
    # The check of all waiting batches computes their ranks again.
    ranks = state.forecast.ranks
    for other in state.plans.values():
        if (
            not other.waiting
            or other is plan
            or other.batch.policy.service != service
        ):
            continue
        known = ranks.get(other.name)
        if known is None or known[1] != other.may_have_started:
            rank = _rank(state, other, now)
        else:
            rank = known[0]
        if rank <= key:
            batches_ahead += 1
            group = groups.setdefault(rank[:2], [0, 0.0])
            count = len(other.waiting)
            group[0] += count
            group[1] += count * other.pool_time
    ahead = [
        admission_forecast.Work(
            count,
            seconds / count * total * admission_forecast.MEAN_FACTOR,
        )
        for _, (count, seconds) in sorted(groups.items())
    ]
    return ahead, batches_ahead, sum(group[1] for group in groups.values())


def _rank(state, plan, now):
    rank = planner_order.rank(state, plan, now)
    state.forecast.ranks[plan.name] = (rank, plan.may_have_started)
    return rank


def _start_limit(plan, now):
    """Return after how many seconds a batch can only be refused."""
    if plan.may_have_started:
        return math.inf
    urgency = planner_order.urgency_of(plan)
    return admission_forecast.latest_start(urgency) - now


def _slot_time(plan, total):
    """Return the mean seconds for which a task of a batch takes a slot."""
    return plan.pool_time * total * admission_forecast.MEAN_FACTOR


_computed_at = operator.attrgetter("computed_at")


def _min_cpu(plan):
    return plan.min_cpu


def _update_profile(state, plan, now, max_updates, *, recheck=False):
    """Return the events for the size of a batch's tasks.

    It is None while not every executor has been looked at.  Those executors
    are updated of which the events are oldest, and only where runs have
    started or ended or were expected to end.  With `recheck`, those that are
    not usable any more come first.
    """
    step = plan.batch.steps[plan.waiting[0].step]
    service = plan.batch.policy.service
    capacities = {
        capacity for name, _, capacity in state.pool if name == service
    }
    needed = admission_forecast.size_class(step.resources, capacities)
    profile = _find_profile(state, (service, step.label, needed))
    versions = profile.versions
    changed = []
    lost = []
    for name, executor in state.executors.items():
        if executor.spec.service != service:
            continue
        runs = versions.get(name)
        if runs is None:
            changed.append((-math.inf, name))
        elif recheck and not planner_placement.is_usable(state, executor, now):
            lost.append(name)
        elif runs.due <= now or runs.free is not executor.free_resources:
            changed.append((runs.computed_at, name))
    is_complete = True
    if len(changed) > max_updates:
        changed = heapq.nsmallest(max_updates + 1, changed)
        is_complete = changed.pop()[0] > -math.inf
    for name in (*lost, *(name for _, name in changed)):
        _update_executor(state, profile, step.label, needed, name, now)
    return profile if is_complete and versions else None


def _find_profile(state, key):
    """Return the profile for a service, a label and a size of tasks."""
    profiles = state.forecast.profiles
    profile = profiles.pop(key, None) or _Profile()
    profiles[key] = profile
    while len(profiles) > MAX_PROFILES:
        profiles.popitem(last=False)
    return profile


def _update_executor(state, profile, label, needed, name, now):
    """Replace the events of an executor if they have changed."""
    executor = state.executors[name]
    versions = profile.versions
    if (
        name in state.isolated
        or (label and label not in executor.spec.labels)
        or not planner_placement.is_usable(state, executor, now)
    ):
        profile.capacity.replace(name, ())
        versions[name] = _Runs(
            executor.free_resources, (), now + UNUSABLE_TIME, now
        )
        return
    runs = state.forecast.runs.get(name)
    if (
        runs is None
        or runs.free is not executor.free_resources
        or runs.due <= now
    ):
        runs = _forecast_runs(state, executor, now)
        state.forecast.runs[name] = runs
    if versions.get(name) is not runs:
        versions[name] = runs
        events = admission_forecast.executor_events(
            needed, runs.free, runs.ends, runs.computed_at
        )
        profile.capacity.replace(name, events)


def _forecast_runs(state, executor, now):
    """Forecast the ends of the runs of an executor."""
    ends = []
    for plan, task in executor.runs.values():
        usual, known_size = planner_ends.usual_time(
            state, executor, plan, task, now
        )
        ends.append(
            admission_forecast.run_end(
                task.started_at,
                usual,
                plan.batch.steps[task.step].resources,
                now,
                known_size,
            )
        )
    due = min((end.early for end in ends), default=math.inf)
    due = max(due, now + admission_forecast.STEP)
    return _Runs(executor.free_resources, tuple(ends), due, now)
