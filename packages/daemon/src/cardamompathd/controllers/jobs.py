"""Jobs that this incarnation owns, and their answers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from cardamompath_core import identity
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers import job_reports

__all__ = [
    "JobsState",
    "make_controller",
]

NOT_STARTED = types.TaskResult("not_started")
UNKNOWN = types.TaskResult("unknown")
DRAINING = types.Refused("draining", "the instance is leaving", 0.1)


class Job:
    """One accepted job until its answer is forgotten."""

    __slots__ = (
        "answer",
        "cancelled",
        "deadline",
        "fetched",
        "job",
        "open",
        "results",
        "spec",
        "waiters",
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


class JobsState:
    """All jobs of one incarnation.

    Parameters
    ----------
    owner : Incarnation
        The incarnation whose identifiers are issued.
    answer_ttl : float
        Seconds for which an answer can be asked for again.
    """

    def __init__(self, owner: identity.Incarnation, answer_ttl: float):
        self.owner = owner
        self.answer_ttl = answer_ttl
        self.counter = 0
        self.jobs: dict[str, Job] = {}
        self.services: frozenset[str] = frozenset()
        self.draining: messages.Drain | None = None
        self.drained = False


def make_controller(
    owner: identity.Incarnation, answer_ttl: float = 300.0
) -> messages.Controller:
    """Make the controller of the jobs that `owner` accepts."""
    state = JobsState(owner, answer_ttl)

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.JOBS, receive)


def _reply(reply, answer):
    return messages.Send(messages.CALLERS, messages.Reply(reply, answer))


def _issue(state, msg, now):
    if state.draining is not None:
        return [_reply(msg.reply, DRAINING)]
    return [_reply(msg.reply, _next_id(state))]


def _next_id(state):
    state.counter += 1
    key = identity.JobKey(state.owner, state.counter)
    return identity.format_job(key)


def _is_own(state, job):
    key = identity.parse_job(job)
    return key.owner == state.owner and key.counter <= state.counter


def _submit(state, msg, now):
    if msg.job and not _is_own(state, msg.job):
        return [_reply(msg.reply, messages.NotOwner(msg.job))]
    known = state.jobs.get(msg.job)
    if known is not None:
        return _resubmit(known, msg)
    refusal = _refuse(state, msg.spec)
    if refusal is not None:
        return [
            _reply(msg.reply, refusal),
            job_reports.observe_refusal(msg.spec, refusal),
        ]
    job = _accept(state, msg, now)
    return [
        messages.Send(
            messages.BACKENDS,
            messages.Enqueue(job.job, job.spec, job.deadline),
        ),
        messages.Send(
            messages.TIMERS,
            messages.SetTimer(
                job.deadline, messages.JOBS, ("deadline", job.job)
            ),
        ),
    ]


def _resubmit(known, msg):
    if known.spec.digest != msg.spec.digest:
        reason = f"job {msg.job!r} was submitted with another body"
        return [_reply(msg.reply, types.Refused("conflict", reason))]
    return _await_known(known, msg.reply)


def _refuse(state, spec):
    if state.draining is not None:
        return DRAINING
    for task in spec.tasks:
        if task.service not in state.services:
            choices = ", ".join(sorted(state.services)) or "none"
            reason = f"unknown service {task.service!r}; there are: {choices}"
            return types.Refused("unknown_service", reason)
    return None


def _accept(state, msg, now):
    name = msg.job or _next_id(state)
    job = Job(name, msg.spec, now + msg.spec.timeout)
    job.waiters.append(msg.reply)
    state.jobs[name] = job
    return job


def _await(state, msg, now):
    if not _is_own(state, msg.job):
        return [_reply(msg.reply, messages.NotOwner(msg.job))]
    known = state.jobs.get(msg.job)
    if known is None:
        reason = f"job {msg.job!r} was not submitted, or is forgotten"
        return [_reply(msg.reply, types.Refused("unknown_job", reason))]
    return [*_await_known(known, msg.reply), *_check_drained(state)]


def _await_known(known, reply):
    if known.answer is not None:
        known.fetched = True
        return [_reply(reply, known.answer)]
    known.waiters.append(reply)
    return []


def _stop_waiting(state, msg, now):
    known = state.jobs.get(msg.job)
    if known is None or msg.reply not in known.waiters:
        return []
    known.waiters.remove(msg.reply)
    return [_reply(msg.reply, _pending(known))]


def _pending(job):
    total = len(job.results)
    return types.Pending(total - job.open, total, "not answered yet")


def _release(state, msg, now):
    sends = []
    for job in state.jobs.values():
        sends += [_reply(reply, _pending(job)) for reply in job.waiters]
        job.waiters.clear()
    return sends


def _cancel(state, msg, now):
    sends = list(_await(state, msg, now))
    known = state.jobs.get(msg.job)
    if known is not None and known.answer is None and not known.cancelled:
        known.cancelled = "cancelled"
        sends.append(_withdraw(known))
    return sends


def _withdraw(job):
    return messages.Send(messages.BACKENDS, messages.Withdraw(job.job))


def _settle(state, msg, now):
    job = state.jobs.get(msg.task.job)
    if job is None or job.answer is not None:
        return []
    if job.results[msg.task.index] is not None:
        return []
    job.results[msg.task.index] = msg.result
    job.open -= 1
    if job.open == 0:
        return _finish(state, job, now)
    if msg.result.state != "finished" and not job.cancelled:
        job.cancelled = "task_failed"
        return [_withdraw(job)]
    return []


def _withdrawn(state, msg, now):
    job = state.jobs.get(msg.job)
    if job is None or job.answer is not None:
        return []
    for index in msg.indexes:
        if job.results[index] is None:
            job.results[index] = NOT_STARTED
            job.open -= 1
    if job.open == 0 or job.cancelled == "deadline":
        return _finish(state, job, now)
    return []


def _timer(state, msg, now):
    what, name = msg.key
    if what == "drained":
        return _end_hold(state)
    job = state.jobs.get(name)
    if job is None:
        return []
    if what == "forget":
        del state.jobs[name]
        return []
    if job.answer is not None:
        return []
    job.cancelled = "deadline"
    return [_withdraw(job)]


def _finish(state, job, now):
    results = tuple(
        UNKNOWN if result is None else result for result in job.results
    )
    job.answer = _answer(job, results)
    sends = [_reply(reply, job.answer) for reply in job.waiters]
    job.fetched = bool(job.waiters)
    job.waiters.clear()
    sends.append(job_reports.observe(job, now))
    sends.append(_withdraw(job))
    sends.append(
        messages.Send(
            messages.TIMERS,
            messages.SetTimer(
                now + state.answer_ttl, messages.JOBS, ("forget", job.job)
            ),
        )
    )
    return sends + _check_drained(state)


def _answer(job, results):
    if all(result.state == "finished" for result in results):
        return types.Complete(results)
    code = job.cancelled or "task_failed"
    if all(result.state == "not_started" for result in results):
        return types.Refused(code, f"nothing of the job ran: {code}")
    states = [result.state for result in results]
    counts = ", ".join(
        f"{states.count(one)} {one}" for one in sorted(set(states))
    )
    return types.Failed(code, f"{code}: {counts}", results)


def _configure(state, msg, now):
    state.services = frozenset(one.name for one in msg.cfg.services)
    return []


def _drain(state, msg, now):
    state.draining = msg
    timer = messages.SetTimer(now + msg.hold, messages.JOBS, ("drained", ""))
    return [messages.Send(messages.TIMERS, timer), *_check_drained(state)]


def _check_drained(state):
    drain = state.draining
    if drain is None or state.drained:
        return []
    for job in state.jobs.values():
        if job.answer is None or (drain.hold and not job.fetched):
            return []
    state.drained = True
    return [_reply(drain.reply, messages.Drained())]


def _end_hold(state):
    state.draining = state.draining._replace(hold=0.0)
    return _check_drained(state)


def _status(state, msg, now):
    waiting = sum(job.answer is None for job in state.jobs.values())
    status = {
        "owner": identity.format_incarnation(state.owner),
        "jobs": len(state.jobs),
        "unanswered": waiting,
        "draining": state.draining is not None,
    }
    return [_reply(msg.reply, status)]


def _list(state, msg, now):
    jobs = state.jobs.values()
    lines = job_reports.list_jobs(jobs, now, msg.limit, msg.stuck)
    return [_reply(msg.reply, lines)]


_HANDLERS = {
    messages.AwaitJob: _await,
    messages.CancelJob: _cancel,
    messages.ConfigurationChanged: _configure,
    messages.Drain: _drain,
    messages.GetStatus: _status,
    messages.IssueJob: _issue,
    messages.ReleaseWaiters: _release,
    messages.ListJobs: _list,
    messages.StopWaiting: _stop_waiting,
    messages.Submit: _submit,
    messages.TaskSettled: _settle,
    messages.TimerFired: _timer,
    messages.Withdrawn: _withdrawn,
}
