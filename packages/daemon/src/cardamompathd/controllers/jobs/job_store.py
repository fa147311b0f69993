"""State of the jobs controller: jobs and their kept answers."""

from __future__ import annotations

from typing import Any

from cardamompath_core import identity
from cardamompath_core import issued_identifiers
from cardamompath_core import types
from cardamompathd import messages

__all__ = [
    "Job",
    "JobsState",
    "NamedSubmission",
    "forget_answer",
    "keep_answer",
    "keep_refusal",
    "make_answer",
    "make_release",
    "make_withdrawal",
    "mark_changed",
]

NOT_STARTED = types.TaskResult("not_started")
UNKNOWN = types.TaskResult("unknown")

JOB_OVERHEAD_BYTES = 512
"""Memory of an answered job without its payloads."""


class Job:
    """An accepted job, until its answer is dropped.

    Parameters
    ----------
    job_id : str
        The identifier.
    spec : JobSpec
        The submission.
    deadline : float
        Time by which the job must be answered.
    """

    __slots__ = (
        "answer",
        "deadline",
        "fetched",
        "ideal_time",
        "job_id",
        "open_tasks",
        "results",
        "spec",
        "stop_code",
        "waiters",
        "wasted_attempts",
    )

    def __init__(self, job_id: str, spec: types.JobSpec, deadline: float):
        self.job_id = job_id
        self.spec = spec
        self.deadline = deadline
        self.results: list[types.TaskResult | None] = [None] * len(spec.tasks)
        self.open_tasks = len(spec.tasks)
        """Number of tasks without a result."""
        self.waiters: list[Any] = []
        """The ``reply_to`` of each request that waits for the answer."""
        self.answer: types.Answer | None = None
        self.stop_code = ""
        """Code of the reason for which the job was stopped, if it was."""
        self.fetched = False
        """Whether the answer was sent to anyone."""
        self.ideal_time = 0.0
        """Longest estimated run time of a settled task, in seconds."""
        self.wasted_attempts = 0
        """Attempts that were sent but did not run their task."""


class NamedSubmission:
    """A submission under a caller's name, until the claim is decided."""

    __slots__ = ("job_id", "refusal", "spec", "waiters")

    def __init__(
        self, job_id: str, spec: types.JobSpec, refusal: types.Refused
    ):
        self.job_id = job_id
        """The identifier that the claim binds to the name."""
        self.spec = spec
        self.refusal = refusal
        """The answer if no job holds the name."""
        self.waiters: list[Any] = []
        """The ``reply_to`` of each such submission."""


class JobsState:
    """All jobs of one process.

    Parameters
    ----------
    owner : Incarnation
        The first incarnation under which identifiers are issued.
    answer_ttl : float
        Seconds for which an answer is kept.
    answer_bytes : int
        Limit on the bytes of kept answers; the oldest are dropped first.
    queue : str
        Name of the controller that queues accepted jobs.
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
        self.identifiers = issued_identifiers.IssuedIdentifiers(
            text, answer_ttl
        )
        self.request_prefix = f"{text}.requests"
        """Prefix of the identifiers of single requests.  It is no
        incarnation, so no lease applies to them: a single request cannot
        be submitted a second time."""
        self.request_count = 0
        self.answer_ttl = answer_ttl
        self.answer_bytes = answer_bytes
        self.jobs: dict[str, Job] = {}
        self.answer_sizes: dict[str, int] = {}
        """Bytes of each answered job, oldest first."""
        self.kept_bytes = 0
        """Sum of `answer_sizes`."""
        self.changed_jobs: dict[str, None] = {}
        """Jobs whose progress is to be journalled, in order."""
        self.named_submissions: dict[str, NamedSubmission] = {}
        """By the caller's name."""
        self.leases: dict[str, float] = {}
        """End of the lease of each own incarnation."""
        self.services: frozenset[str] = frozenset()
        self.drain: messages.Drain | None = None
        """The request to drain, if there was one."""
        self.drained = False
        """Whether that request was answered."""
        self.peer_addresses: dict[tuple[str, str], tuple[str, int]] = {}
        """By failure domain and instance."""


def keep_refusal(
    state: JobsState,
    job_id: str,
    spec: types.JobSpec,
    answer: types.Answer,
    now: float,
) -> list[messages.Send]:
    """Keep the answer to an identifier whose tasks will never start."""
    job = Job(job_id, spec, now)
    job.results = [NOT_STARTED] * len(spec.tasks)
    job.open_tasks = 0
    job.answer = answer
    mark_changed(state, job)
    job.fetched = True
    state.jobs[job_id] = job
    return keep_answer(state, job, now)


def keep_answer(state: JobsState, job: Job, now: float) -> list[messages.Send]:
    """Keep an answer for `answer_ttl`, within the limit on bytes.

    The tasks with their payloads are dropped.
    """
    size = JOB_OVERHEAD_BYTES + sum(
        len(result.payload) for result in job.results if result
    )
    job.spec = job.spec._replace(tasks=())
    state.answer_sizes[job.job_id] = size
    state.kept_bytes += size
    while state.kept_bytes > state.answer_bytes:
        forget_answer(state, next(iter(state.answer_sizes)))
    key = ("forget", job.job_id)
    timer = messages.SetTimer(now + state.answer_ttl, messages.JOBS, key)
    return [messages.Send(messages.TIMERS, timer)]


def forget_answer(state: JobsState, job_id: str) -> None:
    """Drop an answered job."""
    state.kept_bytes -= state.answer_sizes.pop(job_id)
    del state.jobs[job_id]


def make_answer(job: Job) -> types.Answer:
    """Return the answer that the results so far amount to.

    Tasks without a result are unknown.  A job whose lease lapsed is never
    complete: a peer may have given another answer for it already.
    """
    results = tuple(
        UNKNOWN if result is None else result for result in job.results
    )
    finished = all(result.state == "finished" for result in results)
    if finished and job.stop_code != "lease_lapsed":
        return types.Complete(results)
    code = job.stop_code or "task_failed"
    if all(result.state == "not_started" for result in results):
        return types.Refused(code, f"nothing of the job ran: {code}")
    states = [result.state for result in results]
    counts = ", ".join(
        f"{states.count(state)} {state}" for state in sorted(set(states))
    )
    return types.Failed(code, f"{code}: {counts}", results)


def make_withdrawal(state: JobsState, job_id: str) -> messages.Send:
    """Return the message that removes a job's tasks from the queue."""
    return messages.Send(state.queue, messages.Withdraw(job_id))


def make_release(state: JobsState, job: Job) -> messages.Send:
    """Return the message that releases what is reserved for a job."""
    if state.queue == messages.BACKENDS:
        return make_withdrawal(state, job.job_id)
    results = tuple(job.results)
    ended = messages.JobEnded(job.job_id, job.spec.tasks, results)
    return messages.Send(state.queue, ended)


def mark_changed(state: JobsState, job: Job) -> None:
    """Mark a job as changed, so that its progress is journalled.

    Single requests are not journalled.
    """
    if not job.spec.single:
        state.changed_jobs[job.job_id] = None
