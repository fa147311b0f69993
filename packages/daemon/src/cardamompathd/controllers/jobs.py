"""Jobs that this process owns, and their answers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from cardamompath_core import identity
from cardamompath_core import issued_identifiers
from cardamompath_core import leases
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers import fence
from cardamompathd.controllers import job_leases
from cardamompathd.controllers import job_reports
from cardamompathd.controllers import job_store
from cardamompathd.controllers import job_waits

__all__ = [
    "make_controller",
]

NO_SPEC = types.JobSpec("", (), 0.0, "")
"""Stands for the submission of a job that was cancelled before it."""

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

AT_ONCE = ("deadline", "lease_lapsed")
"""Reasons for which a job ends without the answers in flight."""


def _conflict(name):
    reason = f"{name!r} was submitted with another body"
    return types.Refused("conflict", reason)


def make_controller(
    owner: identity.Incarnation,
    answer_ttl: float = 300.0,
    answer_bytes: int = 256 << 20,
    queue: str = messages.BACKENDS,
) -> messages.Controller:
    """Make the controller of the jobs that a process owns."""
    state = job_store.JobsState(owner, answer_ttl, answer_bytes, queue)

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        return _HANDLERS[type(msg)](state, msg, now)

    return messages.Controller(messages.JOBS, receive)


def _reply(reply_to, answer):
    return messages.Send(messages.CALLERS, messages.Reply(reply_to, answer))


def _issue(state, msg, now):
    if state.draining is not None:
        return [_reply(msg.reply_to, DRAINING)]
    return [_reply(msg.reply_to, issued_identifiers.issue(state.book, now))]


def _submit(state, msg, now):
    if not msg.job:
        return _submit_request(state, msg, now)
    known = state.jobs.get(msg.job)
    if known is not None:
        return _resubmit(known, msg)
    standing = issued_identifiers.standing(state.book, msg.job, now)
    if standing != "open":
        return _answer_other(state, msg, standing, len(msg.spec.tasks))
    issued_identifiers.take(state.book, msg.job)
    until = fence.lease_end(state.leases, msg.job)
    refusal = _refuse(state, msg.spec)
    if not leases.may_start(until, now):
        refusal = LAPSED
    if refusal is not None:
        sends = job_store.close(state, msg.job, msg.spec, refusal, now)
        sends.append(job_reports.observe_refusal(msg.spec, refusal))
        return [_reply(msg.reply_to, refusal), *sends]
    return _accept(state, msg.job, msg, now)


def _submit_request(state, msg, now):
    refusal = _refuse(state, msg.spec)
    if refusal is not None:
        observed = job_reports.observe_refusal(msg.spec, refusal)
        return [_reply(msg.reply_to, refusal), observed]
    state.request_count += 1
    return _accept(state, f"{state.requests}.{state.request_count}", msg, now)


def _resubmit(known, msg):
    if known.spec.digest not in ("", msg.spec.digest):
        reason = f"job {msg.job!r} was submitted with another body"
        return [_reply(msg.reply_to, types.Refused("conflict", reason))]
    return _await_known(known, msg.reply_to)


def _answer_other(state, msg, standing, total):
    """Answer for an identifier that is not open here."""
    if standing == "foreign":
        key = identity.parse_job(msg.job)
        place = (key.owner.domain, key.owner.instance)
        address = state.addresses.get(place)
        ask = messages.ResolveForeignJob(msg.job, total, address, msg.reply_to)
        return [messages.Send(messages.JOURNAL, ask)]
    if standing == "never":
        reason = f"job {msg.job!r} was never issued"
        return [_reply(msg.reply_to, types.Refused("unknown_job", reason))]
    reason = f"job {msg.job!r} is forgotten or expired; it may have run"
    forgotten = types.Failed("forgotten", reason, (UNKNOWN,) * total)
    return [_reply(msg.reply_to, forgotten)]


def _refuse(state, spec):
    if state.draining is not None:
        return DRAINING
    for task in spec.tasks:
        if task.service not in state.services:
            choices = ", ".join(sorted(state.services)) or "none"
            reason = f"unknown service {task.service!r}; there are: {choices}"
            return types.Refused("unknown_service", reason)
    return None


def _accept(state, name, msg, now):
    job = job_store.Job(name, msg.spec, now + msg.spec.timeout)
    job.waiters.append(msg.reply_to)
    state.jobs[name] = job
    job_store.note_change(state, job)
    enqueue = messages.Enqueue(name, job.spec, job.deadline)
    timer = messages.SetTimer(job.deadline, messages.JOBS, ("deadline", name))
    return [
        messages.Send(state.queue, enqueue),
        messages.Send(messages.TIMERS, timer),
    ]


def _submit_named(state, msg, now):
    named = state.named.get(msg.name)
    if named is not None:
        if named.spec.digest != msg.spec.digest:
            return [_reply(msg.reply_to, _conflict(msg.name))]
        named.replies.append(msg.reply_to)
        return []
    refusal = _refuse(state, msg.spec)
    job = "" if refusal else issued_identifiers.issue(state.book, now)
    named = job_store.Named(job, msg.spec, refusal or LOG_UNAVAILABLE)
    named.replies.append(msg.reply_to)
    state.named[msg.name] = named
    claim = messages.Claim(
        msg.name, job, msg.spec.digest, lookup=refusal is not None
    )
    return [messages.Send(messages.JOURNAL, claim)]


def _claimed(state, msg, now):
    named = state.named.pop(msg.name, None)
    if named is None:
        return []
    if msg.job != named.job:
        issued_identifiers.take(state.book, named.job)
    refusal = None
    if not msg.job:
        refusal = named.unclaimed
    elif msg.digest != named.spec.digest:
        refusal = _conflict(msg.name)
    sends = []
    for reply_to in named.replies:
        if refusal is not None:
            sends.append(_reply(reply_to, refusal))
            continue
        submit = messages.Submit(msg.job, named.spec, reply_to)
        sends += _submit(state, submit, now)
    return sends


def _await(state, msg, now):
    known = state.jobs.get(msg.job)
    if known is not None:
        sends = _await_known(known, msg.reply_to)
        return sends + job_waits.check_drained(state)
    standing = issued_identifiers.standing(state.book, msg.job, now)
    if standing == "open":
        pending = types.Pending(0, 0, "not submitted yet")
        return [_reply(msg.reply_to, pending)]
    return _answer_other(state, msg, standing, 0)


def _await_known(known, reply_to):
    if known.answer is not None:
        known.fetched = True
        return [_reply(reply_to, known.answer)]
    known.waiters.append(reply_to)
    return []


def _cancel(state, msg, now):
    known = state.jobs.get(msg.job)
    if known is None:
        standing = issued_identifiers.standing(state.book, msg.job, now)
        if standing == "open":
            return _cancel_open(state, msg, now)
    sends = list(_await(state, msg, now))
    if known is not None and known.answer is None and not known.cancelled:
        known.cancelled = "cancelled"
        sends.append(job_store.withdraw(state, known.job))
    return sends


def _cancel_open(state, msg, now):
    issued_identifiers.take(state.book, msg.job)
    reason = "cancelled before it was submitted"
    refused = types.Refused("cancelled", reason)
    sends = job_store.close(state, msg.job, NO_SPEC, refused, now)
    return [_reply(msg.reply_to, refused), *sends]


def _settle(state, msg, now):
    job = state.jobs.get(msg.task.job)
    if job is None or job.answer is not None:
        return []
    if job.results[msg.task.index] is not None:
        return []
    job.results[msg.task.index] = msg.result
    job.ideal_time = max(job.ideal_time, msg.ideal_time)
    job.wasted_attempts += msg.wasted_attempts
    job.open -= 1
    job_store.note_change(state, job)
    if job.open == 0:
        return _finish(state, job, now)
    if msg.result.state != "finished" and not job.cancelled:
        job.cancelled = "task_failed"
        return [job_store.withdraw(state, job.job)]
    return []


def _withdrawn(state, msg, now):
    job = state.jobs.get(msg.job)
    if job is None or job.answer is not None:
        return []
    job.wasted_attempts += msg.wasted_attempts
    for index in msg.indexes:
        if job.results[index] is None:
            job.results[index] = job_store.NOT_STARTED
            job.open -= 1
    job_store.note_change(state, job)
    if job.open == 0 or job.cancelled in AT_ONCE:
        return _finish(state, job, now)
    return []


def _timer(state, msg, now):
    if msg.key == job_waits.DRAINED:
        return job_waits.end_hold(state)
    what, name = msg.key
    job = state.jobs.get(name)
    if job is None:
        return []
    if what == "forget":
        job_store.forget(state, name)
        return []
    if job.answer is not None:
        return []
    job.cancelled = "deadline"
    return [job_store.withdraw(state, job.job)]


def _declined(state, msg, now):
    job = state.jobs.get(msg.job)
    if job is None or job.answer is not None:
        return []
    job.results = [job_store.NOT_STARTED] * len(job.results)
    job.open = 0
    job_store.note_change(state, job)
    return _finish(state, job, now, msg.refusal)


def _finish(state, job, now, refusal=None):
    until = fence.lease_end(state.leases, job.job)
    if not leases.may_start(until, now):
        # Peers may have answered for it already.
        job.cancelled = LAPSED.code
        refusal = None
    job.answer = refusal or job_store.make_answer(job)
    sends = [_reply(reply_to, job.answer) for reply_to in job.waiters]
    job.fetched = bool(job.waiters)
    job.waiters.clear()
    sends.append(job_reports.observe(job, now))
    sends.append(job_store.leave_queue(state, job))
    if job.spec.single:
        del state.jobs[job.job]
    else:
        sends += job_store.keep(state, job, now)
    return sends + job_waits.check_drained(state)


def _configure(state, msg, now):
    state.services = frozenset(one.name for one in msg.cfg.services)
    return []


def _see_peers(state, msg, now):
    state.addresses = {}
    # The living go last: an instance may have a dead incarnation too.
    for peer in sorted(msg.peers, key=lambda one: one.status != "dead"):
        owner = identity.parse_incarnation(peer.incarnation)
        place = (owner.domain, owner.instance)
        state.addresses[place] = (peer.host, peer.port)
    return []


def _status(state, msg, now):
    waiting = sum(job.answer is None for job in state.jobs.values())
    status = {
        "owner": state.book.owner,
        "jobs": len(state.jobs),
        "unanswered": waiting,
        "draining": state.draining is not None,
        "answer_bytes": state.held,
    }
    return [_reply(msg.reply_to, status)]


def _list(state, msg, now):
    jobs = state.jobs.values()
    lines = job_reports.list_jobs(jobs, now, msg.limit, msg.stuck)
    return [_reply(msg.reply_to, lines)]


_HANDLERS = {
    messages.AwaitJob: _await,
    messages.CancelJob: _cancel,
    messages.ClaimDecided: _claimed,
    messages.CollectProgress: job_leases.collect,
    messages.ConfigurationChanged: _configure,
    messages.JobRefused: _declined,
    messages.Drain: job_waits.drain,
    messages.GetStatus: _status,
    messages.IssueJobId: _issue,
    messages.LeaseChanged: job_leases.take_lease,
    messages.OwnerChanged: job_leases.change_owner,
    messages.ListJobs: _list,
    messages.PeersChanged: _see_peers,
    messages.ReleaseWaiters: job_waits.release,
    messages.StopWaiting: job_waits.stop_waiting,
    messages.Submit: _submit,
    messages.SubmitNamed: _submit_named,
    messages.TaskSettled: _settle,
    messages.TimerFired: _timer,
    messages.TasksWithdrawn: _withdrawn,
}
