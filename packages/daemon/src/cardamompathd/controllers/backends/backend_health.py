"""Outlier ejection: health of a backend server from its outcomes."""

from __future__ import annotations

import operator

from cardamompath_core import health
from cardamompath_core import outcomes
from cardamompath_core import retries
from cardamompath_core import types
from cardamompathd.controllers.backends import service_state

__all__ = [
    "find_probe_target",
    "record_outcome",
    "review",
]

LEAVING_PAUSE = 60.0
"""Seconds without new tasks after an answer marked a server leaving."""
OVERDUE_FACTOR = 3.0
"""A task is overdue after this multiple of its expected time plus
`OVERDUE_MARGIN`."""
OVERDUE_MARGIN = 0.25
"""Seconds added to that multiple."""
MIN_OVERDUE = 3
"""Minimum number of overdue tasks that mark a server slow.

Stragglers are rare: so many at once point to the server.
"""
OVERDUE_SHARE = 0.75
"""Minimum share of the tasks in flight that must also be overdue."""
IDLE_TIME = 5.0
"""Seconds without tasks after which a server's learned speed decays."""
SPEED_DECAY = 0.02
"""Share of the learned speed that is forgotten at each review."""

_STARTED_AT = operator.attrgetter("started_at")


def record_outcome(
    backend: service_state.Backend,
    attempt: service_state.Attempt,
    job_id: str,
    answer: types.BackendAnswer,
    verdict: outcomes.Verdict,
    now: float,
) -> None:
    """Update a backend server's health from an ended attempt.

    Parameters
    ----------
    backend : Backend
        The backend server.
    attempt : Attempt
        The attempt.
    job_id : str
        The task's job.
    answer : BackendAnswer
        How the exchange ended.
    verdict : str
        State of the task that the answer proves.
    now : float
        The present time in seconds.
    """
    if _is_ordinary_success(backend, attempt, answer, verdict):
        backend.service.failure_rates.observe(attempt.task.kind, False)
        return
    backend.stalled = False
    if answer.leaving:
        backend.leaving_until = now + LEAVING_PAUSE
    if verdict == "not_run":
        _pause(backend, attempt, now)
    else:
        backend.consecutive_refusals = 0
    if attempt.is_probe:
        _end_probe(backend, verdict, now)
    elif verdict != "not_run":
        _record_evidence(backend, attempt, job_id, verdict == "finished", now)
    backend.update_slots(now)


def _is_ordinary_success(backend, attempt, answer, verdict):
    """Return whether it is a success that changes nothing.

    This common case skips the rest of the update.
    """
    return (
        verdict == "finished"
        and not answer.leaving
        and not backend.stalled
        and not backend.consecutive_refusals
        and not attempt.is_probe
        and not backend.health.evidence
        and not backend.consecutive_refusals
    )


def _pause(backend, attempt, now):
    """Start no tasks on a server that refused one, longer each time."""
    if attempt.started_at < backend.paused_until:
        return
    pause = retries.refusal_backoff(
        backend.consecutive_refusals, backend.service.rng
    )
    backend.consecutive_refusals += 1
    backend.paused_until = now + pause


def _end_probe(backend, verdict, now):
    service = backend.service
    backend.health.record_probe(verdict == "finished", now, service.rng)
    if not backend.health.ejected:
        service.ejected.remove(backend)


def _record_evidence(backend, attempt, job_id, finished, now):
    service = backend.service
    kind = attempt.task.kind
    failure_rate = service.failure_rates.rate(kind)
    service.failure_rates.observe(kind, not finished)
    if finished:
        backend.health.record_success(failure_rate)
        return
    if not service.failure_rates.is_first_failure(job_id):
        return
    if not backend.health.record_failure(failure_rate):
        return
    if health.may_eject(len(service.ejected), len(service.backends)):
        backend.health.eject(now, service.rng)
        service.ejected.append(backend)


def find_probe_target(
    service: service_state.Service, retryable: bool, now: float
) -> service_state.Backend | None:
    """Return an ejected backend server that a task may probe.

    Parameters
    ----------
    service : Service
        The service.
    retryable : bool
        Whether the task may run again if the probe fails.
    now : float
        The present time in seconds.
    """
    for backend in service.ejected:
        if backend.leaving or now < backend.leaving_until:
            continue
        if backend.health.may_probe(now, retryable):
            return backend
    return None


def review(backend: service_state.Backend, now: float) -> None:
    """Look for overdue tasks and decay old observations.

    Parameters
    ----------
    backend : Backend
        The backend server.
    now : float
        The present time in seconds.
    """
    if not backend.attempts and backend.is_steady(now):
        return
    backend.health.decay(now)
    estimates = backend.service.estimates
    name = backend.spec.name
    overdue = [
        attempt
        for attempt in backend.attempts.values()
        if _is_overdue(attempt, now)
    ]
    min_overdue = max(MIN_OVERDUE, OVERDUE_SHARE * len(backend.attempts))
    if len(overdue) >= min_overdue:
        oldest = min(overdue, key=_STARTED_AT)
        backend.stalled = backend.last_ended_at <= oldest.started_at
        estimates.observe_running(name, oldest.size, now - oldest.started_at)
    elif not backend.attempts and now - backend.last_ended_at > IDLE_TIME:
        estimates.drift_to_mean(name, SPEED_DECAY)
    elif not overdue and backend.is_steady(now):
        return
    backend.server.speed = estimates.speed(name)
    backend.update_slots(now)


def _is_overdue(attempt, now):
    expected = attempt.expected_end - attempt.started_at
    return (
        now > attempt.started_at + OVERDUE_FACTOR * expected + OVERDUE_MARGIN
    )
