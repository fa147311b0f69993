"""The jobs of one process, and how long their answers are kept."""

from __future__ import annotations

from typing import Any

from cardamompath_core import identity
from cardamompath_core import issued_identifiers
from cardamompath_core import types
from cardamompathd import messages

__all__ = [
    "Job",
    "JobsState",
    "Named",
    "close",
    "forget",
    "keep",
    "leave_queue",
    "make_answer",
    "note_change",
    "withdraw",
]

NOT_STARTED = types.TaskResult("not_started")
UNKNOWN = types.TaskResult("unknown")

JOB_BYTES = 512
"""Memory of an answered job beside its payloads."""


class Job:
    """One accepted job until its answer is forgotten."""

    __slots__ = (
        "answer",
        "cancelled",
        "deadline",
        "fetched",
        "ideal_time",
        "job",
        "open",
        "results",
        "spec",
        "waiters",
        "wasted_attempts",
    )

    def __init__(self, job: str, spec: types.JobSpec, deadline: float):
        self.job = job
        self.spec = spec
        self.deadline = deadline
        self.results: list[types.TaskResult | None] = [None] * len(spec.tasks)
        self.open = len(spec.tasks)
        self.waiters: list[Any] = []
        self.answer: types.Answer | None = None
        self.cancelled = ""
        self.fetched = False
        """Whether anyone got the answer."""
        self.ideal_time = 0.0
        """Learned seconds of the longest task so far."""
        self.wasted_attempts = 0
        """Exchanges that were sent but did not run their task."""


class Named:
    """A submission under a caller's name until its claim is decided."""

    __slots__ = ("job", "replies", "spec", "unclaimed")

    def __init__(
        self, job: str, spec: types.JobSpec, unclaimed: types.Refused
    ):
        self.job = job
        self.spec = spec
        self.unclaimed = unclaimed
        """The answer when nobody gets the name."""
        self.replies: list[Any] = []


class JobsState:
    """All jobs of one process.

    Parameters
    ----------
    owner : Incarnation
        The incarnation whose identifiers are issued at first.
    answer_ttl : float
        Seconds for which an answer can be asked for again.
    answer_bytes : int
        Most bytes of answers that are kept; the oldest go first.
    queue : str
        The task that takes accepted jobs.
    """

    def __init__(
        self,
        owner: identity.Incarnation,
        answer_ttl: float,
        answer_bytes: int,
        queue: str = messages.BACKENDS,
    ):
        self.queue = queue
        text = identity.format_incarnation(owner)
        self.book = issued_identifiers.Book(text, answer_ttl)
        self.requests = f"{text}.requests"
        """Prefix of single requests, which no lease binds: they can
        never be submitted again."""
        self.request_count = 0
        self.answer_ttl = answer_ttl
        self.answer_bytes = answer_bytes
        self.jobs: dict[str, Job] = {}
        self.answered: dict[str, int] = {}
        """Bytes of each answered job, oldest first."""
        self.held = 0
        self.changed: dict[str, None] = {}
        """Jobs whose progress is to be journalled."""
        self.named: dict[str, Named] = {}
        self.leases: dict[str, float] = {}
        self.services: frozenset[str] = frozenset()
        self.draining: messages.Drain | None = None
        self.drained = False
        self.addresses: dict[tuple[str, str], tuple[str, int]] = {}


def close(
    state: JobsState,
    name: str,
    spec: types.JobSpec,
    answer: types.Answer,
    now: float,
) -> list[messages.Send]:
    """Keep the answer to an identifier of which nothing ever starts."""
    job = Job(name, spec, now)
    job.results = [NOT_STARTED] * len(spec.tasks)
    job.open = 0
    job.answer = answer
    note_change(state, job)
    job.fetched = True
    state.jobs[name] = job
    return keep(state, job, now)


def keep(state: JobsState, job: Job, now: float) -> list[messages.Send]:
    """Keep an answer for its time, within the bytes for answers."""
    size = JOB_BYTES + sum(len(one.payload) for one in job.results if one)
    job.spec = job.spec._replace(tasks=())
    state.answered[job.job] = size
    state.held += size
    while state.held > state.answer_bytes:
        forget(state, next(iter(state.answered)))
    key = ("forget", job.job)
    timer = messages.SetTimer(now + state.answer_ttl, messages.JOBS, key)
    return [messages.Send(messages.TIMERS, timer)]


def forget(state: JobsState, name: str) -> None:
    """Forget an answered job."""
    state.held -= state.answered.pop(name)
    del state.jobs[name]


def make_answer(job: Job) -> types.Answer:
    """Make the answer from what is known of the tasks now."""
    results = tuple(
        UNKNOWN if result is None else result for result in job.results
    )
    finished = all(result.state == "finished" for result in results)
    if finished and job.cancelled != "lease_lapsed":
        return types.Complete(results)
    code = job.cancelled or "task_failed"
    if all(result.state == "not_started" for result in results):
        return types.Refused(code, f"nothing of the job ran: {code}")
    states = [result.state for result in results]
    counts = ", ".join(
        f"{states.count(one)} {one}" for one in sorted(set(states))
    )
    return types.Failed(code, f"{code}: {counts}", results)


def withdraw(state: JobsState, name: str) -> messages.Send:
    """Make the message that takes a job's tasks out of the queue."""
    return messages.Send(state.queue, messages.Withdraw(name))


def leave_queue(state: JobsState, job: Job) -> messages.Send:
    """Make the message that ends all that is held for a job."""
    if state.queue == messages.BACKENDS:
        return withdraw(state, job.job)
    results = tuple(job.results)
    ended = messages.JobEnded(job.job, job.spec.tasks, results)
    return messages.Send(state.queue, ended)


def note_change(state: JobsState, job: Job) -> None:
    """Note that a job has progress for the journal."""
    if not job.spec.single:
        state.changed[job.job] = None
