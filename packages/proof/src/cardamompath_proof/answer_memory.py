"""Jobs that share a bounded memory for answers, in virtual time.

Compares three rules: a task starts whenever a slot is free; only if its
own answer fits; only if its whole job reserved room.  Prints how the
jobs ended and the most bytes held at a time.
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
SLOTS = 24
JOBS = 400
TASKS = (20, 100, 200, 840)
"""Sizes of jobs, equally frequent."""
MEAN_GAP = 4.0
"""Mean seconds between two jobs."""
MEDIAN_SIZE = 0.25
STRAGGLERS = 0.005
STRAGGLER_FACTOR = 30.0
TIMEOUT = 30.0
ANSWER_BYTES = 64 << 10
SEED = 41


class Outcome(NamedTuple):
    """How the jobs of one run ended."""

    complete: int
    failed: int
    not_run: int
    peak: int
    """Most bytes of answers held at a time."""


class _Job:
    def __init__(self, number, now, sizes):
        self.number = number
        self.sizes = sizes
        self.queued = queueing.QueuedJob(str(number), now, now + TIMEOUT)
        self.left = len(sizes)
        self.begun = False
        self.bytes = 0
        """Bytes of the answers that are held or under way."""


class _Run:
    def __init__(self, rule, buffer, seed):
        self.rule = rule
        self.buffer = buffer
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.queue = queueing.TaskQueue()
        self.reserved = reservations.Reservations(buffer)
        self.jobs = {}
        self.free = SLOTS
        self.used = 0
        self.peak = 0
        self.ends = {"complete": 0, "failed": 0, "not_run": 0}

    def at(self, when, what, *args):
        event = (when, next(self.order), what, args)
        heapq.heappush(self.events, event)

    def arrive(self, number, sizes):
        job = _Job(number, self.now, sizes)
        self.jobs[str(number)] = job
        self.at(self.now + TIMEOUT, self.leave, job, "failed")
        task = types.TaskSpec("booking", "reserve", b"")
        learned = reservations.AnswerSizes()
        learned.observe(task, ANSWER_BYTES)
        size = learned.expected((task,) * len(sizes))
        place = reservations.priority(self.now, len(sizes))
        by_job = self.rule == "whole job"
        if not by_job or self.reserved.reserve(str(number), size, place):
            self.enqueue(job, False)

    def enqueue(self, job, waited):
        tasks = [
            queueing.QueuedTask(MEDIAN_SIZE, index, queueing.SHORT)
            for index in range(len(job.sizes))
        ]
        size = sum(one.size for one in tasks)
        place = queueing.priority(self.now, MEDIAN_SIZE, size, SLOTS)
        ahead = self.queue.work_ahead(place) if len(self.queue) else 0.0
        load = admission.Load(ahead, SLOTS, size)
        left = job.queued.deadline - self.now
        if admission.check_deadline(load, left, waited):
            self.leave(job, "not_run")
            return
        self.queue.add(job.queued, tasks, SLOTS)

    def start_ready(self):
        while self.free:
            head = self.queue.head(queueing.SHORT)
            full = self.used + ANSWER_BYTES > self.buffer
            if head is None or (full and self.rule == "each answer"):
                return
            task = self.queue.pop(queueing.SHORT, SLOTS)
            job = self.jobs[head[1].job]
            job.begun = True
            job.bytes += ANSWER_BYTES
            self.used += ANSWER_BYTES
            self.peak = max(self.peak, self.used)
            self.free -= 1
            self.at(self.now + job.sizes[task.index], self.end, job)

    def end(self, job):
        self.free += 1
        job.left -= 1
        if not job.left:
            self.leave(job, "complete")

    def leave(self, job, how):
        if self.jobs.pop(str(job.number), None) is None:
            return
        self.queue.withdraw(job.queued)
        self.used -= job.bytes
        self.ends[how if job.begun else "not_run"] += 1
        for other in self.reserved.release(str(job.number)):
            self.enqueue(self.jobs[other], True)


def _draw_size(rng):
    size = rng.lognormvariate(0.0, 0.7) * MEDIAN_SIZE
    size = min(1.0, max(0.05, size))
    return size * (STRAGGLER_FACTOR if rng.random() < STRAGGLERS else 1.0)


def run(rule: str, buffer: int, seed: int = SEED) -> Outcome:
    """Run the jobs under a rule with so many bytes for answers."""
    state = _Run(rule, buffer, seed)
    when = 0.0
    for number in range(JOBS):
        when += state.rng.expovariate(1.0 / MEAN_GAP)
        count = state.rng.choice(TASKS)
        sizes = [_draw_size(state.rng) for _ in range(count)]
        state.at(when, state.arrive, number, sizes)
    while state.events:
        state.now, _, what, args = heapq.heappop(state.events)
        what(*args)
        state.start_ready()
    return Outcome(**state.ends, peak=state.peak)


def main(argv: list[str]) -> int:
    """Print the outcomes for several sizes of the memory."""
    print("buffer MiB  rule         complete  failed  not run  peak MiB")
    for buffer in (16 << 20, 32 << 20, 64 << 20, 128 << 20):
        for rule in RULES:
            got = run(rule, buffer)
            print(
                f"{buffer / 2**20:10.1f}  {rule:11}  {got.complete:8}"
                f"  {got.failed:6}  {got.not_run:7}  {got.peak / 2**20:8.1f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
