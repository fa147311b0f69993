"""Reference scheduler: one central queue that knows all sizes and speeds.

It has no network delay.  The job with the least remaining work goes
first, and jobs that cannot meet their deadline are refused.  If speeds
differ, no single rule for taking a slower server instead of waiting for a
faster one is best: the oracle runs with several margins, and the best run
counts.
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
"""A task takes a free server if it then takes at most this many times as
long as by waiting for a faster one; 0: it never waits."""
LOOK_AHEAD = 16
"""Queued tasks that may wait for a faster server while others overtake."""


class _State:
    def __init__(self, workload, margin):
        self.margin = margin
        self.free_slots = _free_slots(workload)
        self.end_times = {speed: [] for speed in self.free_slots}
        self.queue = []
        self.sequence = itertools.count()
        self.tasks_left = {}
        self.results = {}


def run(
    workload: workloads.Workload, arrivals: list[workloads.Arrival]
) -> measures.Run:
    """Run a workload with each margin and return the best run.

    The best run completes the most jobs, then has the least mean response
    time.  Backend servers that have a fault are never used.
    """
    margins = MARGINS if len(set(workload.speeds)) > 1 else MARGINS[:1]
    runs = [_run(workload, arrivals, margin) for margin in margins]
    return min(runs, key=_sort_key)


def _sort_key(run):
    times = measures.response_times(run)
    return -len(times), sum(times)


def _run(workload, arrivals, margin):
    state = _State(workload, margin)
    events = [
        (arrival.at, next(state.sequence), "arrive", index)
        for index, arrival in enumerate(arrivals)
    ]
    heapq.heapify(events)
    while events:
        now, _, kind, item = heapq.heappop(events)
        if kind == "arrive":
            _arrive(state, arrivals[item], item)
        else:
            _end_task(state, item, now)
        _start_tasks(state, arrivals, events, now)
    return measures.Run(workload, arrivals, state.results)


def _free_slots(workload):
    faulty = {fault.backend for fault in workload.faults}
    free_slots = {}
    for index, speed in enumerate(workload.speeds):
        if index not in faulty:
            free_slots[speed] = free_slots.get(speed, 0) + workloads.SLOTS
    return dict(sorted(free_slots.items(), reverse=True))


def _arrive(state, arrival, index):
    if arrival.cancel_at is not None:
        return
    state.tasks_left[index] = len(arrival.tasks)
    sizes = sorted(task.size for task in arrival.tasks)
    entry = (sum(sizes), next(state.sequence), index, sizes)
    heapq.heappush(state.queue, entry)


def _end_task(state, item, now):
    index, speed = item
    state.free_slots[speed] += 1
    state.tasks_left[index] -= 1
    if state.tasks_left[index] == 0:
        state.results[index] = measures.Result(now, "complete")


def _start_tasks(state, arrivals, events, now):
    skipped = []
    while state.queue and len(skipped) < LOOK_AHEAD:
        if not any(state.free_slots.values()):
            break
        work, number, index, sizes = heapq.heappop(state.queue)
        size = sizes[-1]
        speed = _choose_speed(state, size, len(skipped), now)
        if speed is None:
            skipped.append((work, number, index, sizes))
            continue
        end = now + size / speed
        if end > arrivals[index].at + arrivals[index].timeout:
            state.results[index] = measures.Result(now, "refused")
            continue
        sizes.pop()
        if sizes:
            entry = (work - size, number, index, sizes)
            heapq.heappush(state.queue, entry)
        state.free_slots[speed] -= 1
        heapq.heappush(state.end_times[speed], end)
        event = (end, next(state.sequence), "end", (index, speed))
        heapq.heappush(events, event)
    for entry in skipped:
        heapq.heappush(state.queue, entry)


def _choose_speed(state, size, skipped_count, now):
    best_by_waiting = float("inf")
    for speed, free_slots in state.free_slots.items():
        duration = size / speed
        if not free_slots:
            wait = _wait_for_slot(state.end_times[speed], skipped_count, now)
            best_by_waiting = min(best_by_waiting, wait + duration)
        elif not state.margin or duration <= state.margin * best_by_waiting:
            return speed
    return None


def _wait_for_slot(end_times, skipped_count, now):
    while end_times and end_times[0] <= now:
        heapq.heappop(end_times)
    if len(end_times) <= skipped_count:
        return float("inf")
    if skipped_count == 0:
        return end_times[0] - now
    return heapq.nsmallest(skipped_count + 1, end_times)[-1] - now
