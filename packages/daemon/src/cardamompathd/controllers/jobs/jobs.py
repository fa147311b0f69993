"""The controller of the jobs that this process owns."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from cardamompath_core import identity
from cardamompath_core import issued_identifiers
from cardamompath_core import leases
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers.jobs import fence
from cardamompathd.controllers.jobs import job_leases
from cardamompathd.controllers.jobs import job_reports
from cardamompathd.controllers.jobs import job_store
from cardamompathd.controllers.jobs import job_waits

__all__ = [
    "make_controller",
]

EMPTY_SPEC = types.JobSpec("", (), 0.0, "")
"""Submission of a job that was cancelled before it was submitted."""

UNKNOWN = types.TaskResult("unknown")
DRAINING = types.Refused("draining", "the instance is leaving", 0.1)
LAPSED = types.Refused(
    "lease_lapsed",
    "the identifier's lease lapsed before it was submitted; get another",
    0.0,
)
LOG_UNAVAILABLE = types.Refused(
    "log_unavailable",
    "the log did not take the claim of the name; nothing ran",
    1.0,
)

IMMEDIATE_STOP_CODES = ("deadline", "lease_lapsed")
"""Codes with which a stopped job is answered without waiting for its
attempts in flight."""


def _make_conflict(name):
    reason = f"{name!r} was submitted with another body"
    return types.Refused("conflict", reason)


def make_controller(
    owner: identity.Incarnation,
    answer_ttl: float = 300.0,
    answer_bytes: int = 256 << 20,
    queue: str = messages.BACKENDS,
) -> messages.Controller:
    """Make the controller of the jobs that a process owns.

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
    state = job_store.JobsState(owner, answer_ttl, answer_bytes, queue)

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.JOBS, receive)


def _reply(reply_to, answer):
    return messages.Send(messages.CALLERS, messages.Reply(reply_to, answer))


def _issue_id(state, msg, now):
    if state.drain is not None:
        return [_reply(msg.reply_to, DRAINING)]
    return [
        _reply(msg.reply_to, issued_identifiers.issue(state.identifiers, now))
    ]


def _submit(state, msg, now):
    if not msg.job:
        return _submit_request(state, msg, now)
    job = state.jobs.get(msg.job)
    if job is not None:
        return _resubmit(job, msg)
    id_state = issued_identifiers.identifier_state(
        state.identifiers, msg.job, now
    )
    if id_state != "open":
        return _answer_not_open(state, msg, id_state, len(msg.spec.tasks))
    issued_identifiers.consume(state.identifiers, msg.job)
    lease_end = fence.lease_end(state.leases, msg.job)
    refusal = _find_refusal(state, msg.spec)
    if not leases.may_start(lease_end, now):
        refusal = LAPSED
    if refusal is not None:
        sends = job_store.keep_refusal(state, msg.job, msg.spec, refusal, now)
        sends.append(job_reports.report_refusal(msg.spec, refusal))
        return [_reply(msg.reply_to, refusal), *sends]
    return _accept(state, msg.job, msg, now)


def _submit_request(state, msg, now):
    refusal = _find_refusal(state, msg.spec)
    if refusal is not None:
        ended = job_reports.report_refusal(msg.spec, refusal)
        return [_reply(msg.reply_to, refusal), ended]
    state.request_count += 1
    return _accept(
        state, f"{state.request_prefix}.{state.request_count}", msg, now
    )


def _resubmit(job, msg):
    if job.spec.digest not in ("", msg.spec.digest):
        reason = f"job {msg.job!r} was submitted with another body"
        return [_reply(msg.reply_to, types.Refused("conflict", reason))]
    return _await_job(job, msg.reply_to)


def _answer_not_open(state, msg, id_state, total):
    """Answer a request for an identifier that cannot be submitted here."""
    if id_state == "foreign":
        key = identity.parse_job(msg.job)
        instance = (key.owner.domain, key.owner.instance)
        address = state.peer_addresses.get(instance)
        resolve = messages.ResolveForeignJob(
            msg.job, total, address, msg.reply_to
        )
        return [messages.Send(messages.JOURNAL, resolve)]
    if id_state == "never":
        reason = f"job {msg.job!r} was never issued"
        return [_reply(msg.reply_to, types.Refused("unknown_job", reason))]
    reason = f"job {msg.job!r} is forgotten or expired; it may have run"
    forgotten = types.Failed("forgotten", reason, (UNKNOWN,) * total)
    return [_reply(msg.reply_to, forgotten)]


def _find_refusal(state, spec):
    if state.drain is not None:
        return DRAINING
    for task in spec.tasks:
        if task.service not in state.services:
            choices = ", ".join(sorted(state.services)) or "none"
            reason = f"unknown service {task.service!r}; there are: {choices}"
            return types.Refused("unknown_service", reason)
    return None


def _accept(state, job_id, msg, now):
    job = job_store.Job(job_id, msg.spec, now + msg.spec.timeout)
    job.waiters.append(msg.reply_to)
    state.jobs[job_id] = job
    job_store.mark_changed(state, job)
    enqueue = messages.Enqueue(job_id, job.spec, job.deadline)
    timer = messages.SetTimer(
        job.deadline, messages.JOBS, ("deadline", job_id)
    )
    return [
        messages.Send(state.queue, enqueue),
        messages.Send(messages.TIMERS, timer),
    ]


def _submit_named(state, msg, now):
    submission = state.named_submissions.get(msg.name)
    if submission is not None:
        if submission.spec.digest != msg.spec.digest:
            return [_reply(msg.reply_to, _make_conflict(msg.name))]
        submission.waiters.append(msg.reply_to)
        return []
    refusal = _find_refusal(state, msg.spec)
    job_id = (
        "" if refusal else issued_identifiers.issue(state.identifiers, now)
    )
    submission = job_store.NamedSubmission(
        job_id, msg.spec, refusal or LOG_UNAVAILABLE
    )
    submission.waiters.append(msg.reply_to)
    state.named_submissions[msg.name] = submission
    claim = messages.Claim(
        msg.name, job_id, msg.spec.digest, lookup=refusal is not None
    )
    return [messages.Send(messages.JOURNAL, claim)]


def _end_claim(state, msg, now):
    submission = state.named_submissions.pop(msg.name, None)
    if submission is None:
        return []
    if msg.job != submission.job_id:
        issued_identifiers.consume(state.identifiers, submission.job_id)
    refusal = None
    if not msg.job:
        refusal = submission.refusal
    elif msg.digest != submission.spec.digest:
        refusal = _make_conflict(msg.name)
    sends = []
    for reply_to in submission.waiters:
        if refusal is not None:
            sends.append(_reply(reply_to, refusal))
            continue
        submit = messages.Submit(msg.job, submission.spec, reply_to)
        sends += _submit(state, submit, now)
    return sends


def _await_answer(state, msg, now):
    job = state.jobs.get(msg.job)
    if job is not None:
        sends = _await_job(job, msg.reply_to)
        return sends + job_waits.check_drained(state)
    id_state = issued_identifiers.identifier_state(
        state.identifiers, msg.job, now
    )
    if id_state == "open":
        pending = types.Pending(0, 0, "not submitted yet")
        return [_reply(msg.reply_to, pending)]
    return _answer_not_open(state, msg, id_state, 0)


def _await_job(job, reply_to):
    if job.answer is not None:
        job.fetched = True
        return [_reply(reply_to, job.answer)]
    job.waiters.append(reply_to)
    return []


def _cancel(state, msg, now):
    job = state.jobs.get(msg.job)
    if job is None:
        id_state = issued_identifiers.identifier_state(
            state.identifiers, msg.job, now
        )
        if id_state == "open":
            return _cancel_unsubmitted(state, msg, now)
    sends = list(_await_answer(state, msg, now))
    if job is not None and job.answer is None and not job.stop_code:
        job.stop_code = "cancelled"
        sends.append(job_store.make_withdrawal(state, job.job_id))
    return sends


def _cancel_unsubmitted(state, msg, now):
    issued_identifiers.consume(state.identifiers, msg.job)
    reason = "cancelled before it was submitted"
    refused = types.Refused("cancelled", reason)
    sends = job_store.keep_refusal(state, msg.job, EMPTY_SPEC, refused, now)
    return [_reply(msg.reply_to, refused), *sends]


def _settle_task(state, msg, now):
    job = state.jobs.get(msg.task.job)
    if job is None or job.answer is not None:
        return []
    if job.results[msg.task.index] is not None:
        return []
    job.results[msg.task.index] = msg.result
    job.ideal_time = max(job.ideal_time, msg.ideal_time)
    job.wasted_attempts += msg.wasted_attempts
    job.open_tasks -= 1
    job_store.mark_changed(state, job)
    if job.open_tasks == 0:
        return _finish(state, job, now)
    if msg.result.state != "finished" and not job.stop_code:
        job.stop_code = "task_failed"
        return [job_store.make_withdrawal(state, job.job_id)]
    return []


def _settle_withdrawn(state, msg, now):
    job = state.jobs.get(msg.job)
    if job is None or job.answer is not None:
        return []
    job.wasted_attempts += msg.wasted_attempts
    for index in msg.indexes:
        if job.results[index] is None:
            job.results[index] = job_store.NOT_STARTED
            job.open_tasks -= 1
    job_store.mark_changed(state, job)
    if job.open_tasks == 0 or job.stop_code in IMMEDIATE_STOP_CODES:
        return _finish(state, job, now)
    return []


def _handle_timer(state, msg, now):
    if msg.key == job_waits.HOLD_TIMER:
        return job_waits.end_hold(state)
    purpose, job_id = msg.key
    job = state.jobs.get(job_id)
    if job is None:
        return []
    if purpose == "forget":
        job_store.forget_answer(state, job_id)
        return []
    if job.answer is not None:
        return []
    job.stop_code = "deadline"
    return [job_store.make_withdrawal(state, job.job_id)]


def _refuse_accepted(state, msg, now):
    job = state.jobs.get(msg.job)
    if job is None or job.answer is not None:
        return []
    job.results = [job_store.NOT_STARTED] * len(job.results)
    job.open_tasks = 0
    job_store.mark_changed(state, job)
    return _finish(state, job, now, msg.refusal)


def _finish(state, job, now, refusal=None):
    lease_end = fence.lease_end(state.leases, job.job_id)
    if not leases.may_start(lease_end, now):
        # A peer may have settled the job already.
        job.stop_code = LAPSED.code
        refusal = None
    job.answer = refusal or job_store.make_answer(job)
    sends = [_reply(reply_to, job.answer) for reply_to in job.waiters]
    job.fetched = bool(job.waiters)
    job.waiters.clear()
    sends.append(job_reports.report_answer(job, now))
    sends.append(job_store.make_release(state, job))
    if job.spec.single:
        del state.jobs[job.job_id]
    else:
        sends += job_store.keep_answer(state, job, now)
    return sends + job_waits.check_drained(state)


def _update_services(state, msg, now):
    state.services = frozenset(service.name for service in msg.cfg.services)
    return []


def _update_peer_addresses(state, msg, now):
    state.peer_addresses = {}
    # Dead incarnations come first, so that the address of a living one of
    # the same instance replaces theirs.
    for peer in sorted(msg.peers, key=lambda view: view.status != "dead"):
        owner = identity.parse_incarnation(peer.incarnation)
        instance = (owner.domain, owner.instance)
        state.peer_addresses[instance] = (peer.host, peer.port)
    return []


def _status(state, msg, now):
    unanswered = sum(job.answer is None for job in state.jobs.values())
    status = {
        "owner": state.identifiers.owner,
        "jobs": len(state.jobs),
        "unanswered": unanswered,
        "draining": state.drain is not None,
        "answer_bytes": state.kept_bytes,
    }
    return [_reply(msg.reply_to, status)]


def _list_jobs(state, msg, now):
    jobs = state.jobs.values()
    summaries = job_reports.list_jobs(jobs, now, msg.limit, msg.stuck)
    return [_reply(msg.reply_to, summaries)]


_HANDLERS = {
    messages.AwaitJob: _await_answer,
    messages.CancelJob: _cancel,
    messages.ClaimDecided: _end_claim,
    messages.CollectProgress: job_leases.collect_progress,
    messages.ConfigurationChanged: _update_services,
    messages.JobRefused: _refuse_accepted,
    messages.Drain: job_waits.drain,
    messages.GetStatus: _status,
    messages.IssueJobId: _issue_id,
    messages.LeaseChanged: job_leases.update_lease,
    messages.OwnerChanged: job_leases.change_owner,
    messages.ListJobs: _list_jobs,
    messages.PeersChanged: _update_peer_addresses,
    messages.ReleaseWaiters: job_waits.release_waiters,
    messages.StopWaiting: job_waits.stop_waiting,
    messages.Submit: _submit,
    messages.SubmitNamed: _submit_named,
    messages.TaskSettled: _settle_task,
    messages.TimerFired: _handle_timer,
    messages.TasksWithdrawn: _settle_withdrawn,
}
