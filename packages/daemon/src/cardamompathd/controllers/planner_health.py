"""How executors do, by the results of their runs.

An executor's own reports are not used: one that fails or stalls all that
it starts has free room, and would get ever more.
"""

from __future__ import annotations

import collections
import math
import statistics

from cardamompathd.controllers import planner_log
from cardamompathd.controllers import planner_runs

__all__ = [
    "is_resting",
    "look",
    "pace",
]

SCORE_LIMIT = 0.6
"""Share of failed runs from which an executor rests."""
REST = 2.0
"""Seconds of the first rest; each further one is longer by as much."""
MOST_REST = 10.0
OVERDUE = 4.0
"""Multiple of its expected time after which a run is overdue.  All tasks
of one batch in thirty take longer, so that overdue runs of two batches
are hardly an accident."""
SHORTEST_OVERDUE = 0.3
"""Seconds that an overdue run has taken at least; moving a shorter one
gains nothing."""
LEAST_OVERDUE = 2
"""Batches with overdue runs on an executor that stalls."""
SLOW = 0.8
"""Logarithmic pace of an executor that is slower than others that were
bought with it; the users' differ by up to 2.4 times."""
PACE_DECAY = 0.99
"""Share of such a pace that is left after each look; half of it is
forgotten in 3.5 s, so that a slow executor is tried again."""


def pace(held):
    """Return how many times longer runs take than on its kind."""
    return math.exp(held.log_pace)


def is_resting(held, now):
    """Return whether an executor gets no work because of its results."""
    return now < held.rest_until


def look(state, now):
    """Let executors rest that fail or stall; return the messages."""
    sends = []
    _center(state)
    for held in state.held.values():
        if held.log_pace > SLOW:
            held.log_pace *= PACE_DECAY
        if is_resting(held, now):
            continue
        if held.score > SCORE_LIMIT:
            sends += _rest(held, "runs fail", now)
            continue
        overdue = _overdue(state, held, now)
        several = len({run.batch for run in overdue}) >= LEAST_OVERDUE
        if several and len(overdue) == len(held.runs):
            sends += _rest(held, "runs stall", now)
            sends += _move(held, overdue)
    return sends


def _center(state):
    """Keep paces relative to the median of their kind.

    Batches compare executors, no more; how long runs take on a kind is
    learned apart from that.
    """
    kinds = collections.defaultdict(list)
    for held in state.held.values():
        kinds[held.spec.kind].append(held)
    for some in kinds.values():
        middle = statistics.median(one.log_pace for one in some)
        for held in some:
            held.log_pace -= middle


def _overdue(state, held, now):
    found = []
    for run, (plan, task) in held.runs.items():
        step = plan.batch.steps[task.step]
        expected = state.times.expected(
            plan.batch.terms.route, held.spec.kind, step.estimate
        )
        usual = max(OVERDUE * expected * pace(held), SHORTEST_OVERDUE)
        late = now - task.since > usual
        if late and held.ended_at < task.since and not task.adopted:
            found.append(run)
    return found


def _rest(held, reason, now):
    held.rests += 1
    rest = min(REST * held.rests, MOST_REST)
    held.rest_until = now + rest
    held.score = 0.0
    return [
        planner_log.note(
            "executor rests",
            executor=held.spec.name,
            reason=reason,
            rest_s=rest,
            runs=len(held.runs),
        )
    ]


def _move(held, runs):
    """Stop runs, so that their tasks start elsewhere."""
    sends = []
    for run in runs:
        task = held.runs[run][1]
        if not task.stopping:
            task.stopping = True
            sends += planner_runs.send_stop(held, run)
    return sends
