"""The yardstick: one central queue that knows every size and speed.

It has no network and no lag.  Tasks of the job with the least work left
go first; what cannot meet its deadline is not started.  Where speeds
differ no single rule is best, so several are run and the best one
counts: a task takes a slower server than it could get by waiting always,
never, or when waiting gains less than a margin.
"""

from __future__ import annotations

import heapq
import itertools

from cardamompath_proof.bench import measures
from cardamompath_proof.bench import workloads

__all__ = [
    "run",
]

MARGINS = (0.0, 1.0, 1.5, 2.0)
"""How many times longer a task may take than if it waited; 0: it never
waits."""
LOOK_AHEAD = 16
"""Queued tasks that may go before others that wait for a faster place."""


class _Oracle:
    def __init__(self, load, margin):
        self.margin = margin
        self.free = _free_slots(load)
        self.busy = {speed: [] for speed in self.free}
        self.queue = []
        self.order = itertools.count()
        self.left = {}
        self.results = {}


def run(
    load: workloads.Workload, arrivals: list[workloads.Arrival]
) -> measures.Run:
    """Run a workload under the best rule of the oracle.

    The best rule answers the most, with the least mean response time.
    Backend servers with a fault are left out from the start.
    """
    margins = MARGINS if len(set(load.speeds)) > 1 else MARGINS[:1]
    runs = [_run(load, arrivals, margin) for margin in margins]
    return min(runs, key=_rank)


def _rank(run):
    times = measures.response_times(run)
    return -len(times), sum(times)


def _run(load, arrivals, margin):
    state = _Oracle(load, margin)
    events = [
        (one.at, next(state.order), "arrive", index)
        for index, one in enumerate(arrivals)
    ]
    heapq.heapify(events)
    while events:
        now, _, what, item = heapq.heappop(events)
        if what == "arrive":
            _arrive(state, arrivals[item], item)
        else:
            _end(state, item, now)
        _start_ready(state, arrivals, events, now)
    return measures.Run(load, arrivals, state.results)


def _free_slots(load):
    bad = {fault.backend for fault in load.faults}
    free = {}
    for index, speed in enumerate(load.speeds):
        if index not in bad:
            free[speed] = free.get(speed, 0) + workloads.SLOTS
    return dict(sorted(free.items(), reverse=True))


def _arrive(state, arrival, index):
    if arrival.cancel_at is not None:
        return
    state.left[index] = len(arrival.tasks)
    sizes = sorted(task.size for task in arrival.tasks)
    entry = (sum(sizes), next(state.order), index, sizes)
    heapq.heappush(state.queue, entry)


def _end(state, item, now):
    index, speed = item
    state.free[speed] += 1
    state.left[index] -= 1
    if state.left[index] == 0:
        state.results[index] = measures.Result(now, "complete")


def _start_ready(state, arrivals, events, now):
    passed = []
    while state.queue and len(passed) < LOOK_AHEAD:
        if not any(state.free.values()):
            break
        work, order, index, sizes = heapq.heappop(state.queue)
        size = sizes[-1]
        speed = _best_speed(state, size, len(passed), now)
        if speed is None:
            passed.append((work, order, index, sizes))
            continue
        ends = now + size / speed
        if ends > arrivals[index].at + arrivals[index].timeout:
            state.results[index] = measures.Result(now, "refused")
            continue
        sizes.pop()
        if sizes:
            entry = (work - size, order, index, sizes)
            heapq.heappush(state.queue, entry)
        state.free[speed] -= 1
        heapq.heappush(state.busy[speed], ends)
        event = (ends, next(state.order), "end", (index, speed))
        heapq.heappush(events, event)
    for entry in passed:
        heapq.heappush(state.queue, entry)


def _best_speed(state, size, ahead, now):
    soonest = float("inf")
    for speed, free in state.free.items():
        took = size / speed
        if not free:
            wait = _wait(state.busy[speed], ahead, now)
            soonest = min(soonest, wait + took)
        elif not state.margin or took <= state.margin * soonest:
            return speed
    return None


def _wait(busy, ahead, now):
    while busy and busy[0] <= now:
        heapq.heappop(busy)
    if len(busy) <= ahead:
        return float("inf")
    if ahead == 0:
        return busy[0] - now
    return heapq.nsmallest(ahead + 1, busy)[-1] - now
