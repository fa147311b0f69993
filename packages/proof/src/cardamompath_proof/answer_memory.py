"""Simulation of jobs that share a bounded memory for answers.

Compares three admission rules: a task starts whenever a slot is free; only
if its own answer fits; only if memory for its whole job is reserved.
Prints how the jobs ended and the peak of the memory used by answers.
"""

from __future__ import annotations

import heapq
import itertools
import random
import sys
from typing import NamedTuple

from cardamompath_core import admission
from cardamompath_core import queueing
from cardamompath_core import reservations
from cardamompath_core import types

__all__ = [
    "Outcome",
    "main",
    "run",
]

RULES = ("none", "each answer", "whole job")
"""What has to fit into the memory before a task starts."""
SLOTS = 24
JOBS = 400
TASK_COUNTS = (20, 100, 200, 840)
"""Tasks of a job; all sizes are equally frequent."""
MEAN_INTERARRIVAL_TIME = 4.0
"""Mean seconds between two jobs."""
MEDIAN_SIZE = 0.25
"""Median seconds that a task takes."""
STRAGGLER_SHARE = 0.005
STRAGGLER_FACTOR = 30.0
TIMEOUT = 30.0
"""Seconds from the arrival of a job to its deadline."""
ANSWER_BYTES = 64 << 10
SEED = 41


class Outcome(NamedTuple):
    """Number of jobs by how they ended, and the peak memory."""

    complete: int
    failed: int
    not_run: int
    peak_bytes: int
    """Largest number of bytes of answers at a time."""


class _Job:
    def __init__(self, number, now, sizes):
        self.number = number
        self.sizes = sizes
        self.queued = queueing.QueuedJob(str(number), now, now + TIMEOUT)
        self.tasks_left = len(sizes)
        self.has_started = False
        self.answer_bytes = 0
        """Bytes of answers that are stored or expected."""


class _Run:
    def __init__(self, rule, buffer, seed):
        self.rule = rule
        self.buffer = buffer
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.sequence = itertools.count()
        self.queue = queueing.TaskQueue()
        self.reservations = reservations.Reservations(buffer)
        self.jobs = {}
        self.free_slots = SLOTS
        self.used_bytes = 0
        self.peak_bytes = 0
        self.job_counts = {"complete": 0, "failed": 0, "not_run": 0}

    def schedule(self, at, callback, *args):
        event = (at, next(self.sequence), callback, args)
        heapq.heappush(self.events, event)

    def arrive(self, number, sizes):
        job = _Job(number, self.now, sizes)
        self.jobs[str(number)] = job
        self.schedule(self.now + TIMEOUT, self.end_job, job, "failed")
        task = types.TaskSpec("booking", "reserve", b"")
        answer_sizes = reservations.AnswerSizes()
        answer_sizes.observe(task, ANSWER_BYTES)
        expected_bytes = answer_sizes.expected((task,) * len(sizes))
        priority = reservations.priority(self.now, len(sizes))
        reserves = self.rule == "whole job"
        if not reserves or self.reservations.reserve(
            str(number), expected_bytes, priority
        ):
            self.enqueue(job, False)

    def enqueue(self, job, waited_for_memory):
        tasks = [
            queueing.QueuedTask(MEDIAN_SIZE, index, queueing.SHORT)
            for index in range(len(job.sizes))
        ]
        size = sum(task.size for task in tasks)
        priority = queueing.priority(self.now, MEDIAN_SIZE, size, SLOTS)
        work_ahead = (
            self.queue.work_ahead(priority) if len(self.queue) else 0.0
        )
        load = admission.Load(work_ahead, SLOTS, size)
        time_left = job.queued.deadline - self.now
        if admission.check_deadline(load, time_left, waited_for_memory):
            self.end_job(job, "not_run")
            return
        self.queue.add(job.queued, tasks, SLOTS)

    def start_tasks(self):
        while self.free_slots:
            head = self.queue.head(queueing.SHORT)
            is_full = self.used_bytes + ANSWER_BYTES > self.buffer
            if head is None or (is_full and self.rule == "each answer"):
                return
            task = self.queue.pop(queueing.SHORT, SLOTS)
            job = self.jobs[head[1].job]
            job.has_started = True
            job.answer_bytes += ANSWER_BYTES
            self.used_bytes += ANSWER_BYTES
            self.peak_bytes = max(self.peak_bytes, self.used_bytes)
            self.free_slots -= 1
            self.schedule(self.now + job.sizes[task.index], self.end_task, job)

    def end_task(self, job):
        self.free_slots += 1
        job.tasks_left -= 1
        if not job.tasks_left:
            self.end_job(job, "complete")

    def end_job(self, job, state):
        if self.jobs.pop(str(job.number), None) is None:
            return
        self.queue.withdraw(job.queued)
        self.used_bytes -= job.answer_bytes
        self.job_counts[state if job.has_started else "not_run"] += 1
        for other in self.reservations.release(str(job.number)):
            self.enqueue(self.jobs[other], True)


def _draw_size(rng):
    size = rng.lognormvariate(0.0, 0.7) * MEDIAN_SIZE
    size = min(1.0, max(0.05, size))
    return size * (STRAGGLER_FACTOR if rng.random() < STRAGGLER_SHARE else 1.0)


def run(rule: str, buffer: int, seed: int = SEED) -> Outcome:
    """Simulate the jobs under a rule with `buffer` bytes for answers."""
    state = _Run(rule, buffer, seed)
    at = 0.0
    for number in range(JOBS):
        at += state.rng.expovariate(1.0 / MEAN_INTERARRIVAL_TIME)
        count = state.rng.choice(TASK_COUNTS)
        sizes = [_draw_size(state.rng) for _ in range(count)]
        state.schedule(at, state.arrive, number, sizes)
    while state.events:
        state.now, _, callback, args = heapq.heappop(state.events)
        callback(*args)
        state.start_tasks()
    return Outcome(**state.job_counts, peak_bytes=state.peak_bytes)


def main(argv: list[str]) -> int:
    """Print the outcomes for several sizes of the buffer."""
    print("buffer MiB  rule         complete  failed  not run  peak MiB")
    for buffer in (16 << 20, 32 << 20, 64 << 20, 128 << 20):
        for rule in RULES:
            outcome = run(rule, buffer)
            print(
                f"{buffer / 2**20:10.1f}  {rule:11}  {outcome.complete:8}"
                f"  {outcome.failed:6}  {outcome.not_run:7}"
                f"  {outcome.peak_bytes / 2**20:8.1f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
