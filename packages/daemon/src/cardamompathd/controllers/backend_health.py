"""What the outcomes of tasks say of a backend server."""

from __future__ import annotations

import operator

from cardamompath_core import health
from cardamompath_core import outcomes
from cardamompath_core import retries
from cardamompath_core import types
from cardamompathd.controllers import service_state

__all__ = [
    "find_probe",
    "observe",
    "review",
]

LEAVING_PAUSE = 60.0
"""Seconds without new work after a server said that it leaves."""
OVERDUE_FACTOR = 3.0
"""A task is overdue after this many times what was expected."""
OVERDUE_SECONDS = 0.25
FEWEST_OVERDUE = 3
"""Overdue tasks that make a server suspect, stragglers being rare."""
OVERDUE_SHARE = 0.75
"""Share of the tasks in flight that must be overdue besides."""
IDLE_SECONDS = 5.0
"""An unused server's speed counts less after this time."""
DRIFT = 0.02
"""Share of a speed that is forgotten with each review."""

_BEGAN = operator.attrgetter("began")


def observe(
    backend: service_state.Backend,
    flight: service_state.Flight,
    job: str,
    answer: types.BackendAnswer,
    verdict: outcomes.Verdict,
    now: float,
) -> None:
    """Weigh the outcome of a task on a backend server."""
    if _is_usual(backend, flight, answer, verdict):
        backend.service.failures.observe(flight.task.kind, False)
        return
    backend.stalled = False
    if answer.leaving:
        backend.leaving_until = now + LEAVING_PAUSE
    if verdict == "not_run":
        _pause(backend, flight, now)
    else:
        backend.refusals = 0
    if flight.probe:
        _take_probe(backend, verdict, now)
    elif verdict != "not_run":
        _weigh(backend, flight, job, verdict == "finished", now)
    backend.update_room(now)


def _is_usual(backend, flight, answer, verdict):
    """Return whether a success changes nothing: the common case."""
    return (
        verdict == "finished"
        and not answer.leaving
        and not backend.stalled
        and not backend.refusals
        and not flight.probe
        and not backend.health.evidence
        and not backend.refusals
    )


def _pause(backend, flight, now):
    """Leave a server that refuses alone, longer each time."""
    if flight.began < backend.refused_until:
        return
    pause = retries.refusal_backoff(backend.refusals, backend.service.rng)
    backend.refusals += 1
    backend.refused_until = now + pause


def _take_probe(backend, verdict, now):
    service = backend.service
    backend.health.record_probe(verdict == "finished", now, service.rng)
    if not backend.health.ejected:
        service.ejected.remove(backend)


def _weigh(backend, flight, job, finished, now):
    service = backend.service
    kind = flight.task.kind
    share = service.failures.rate(kind)
    service.failures.observe(kind, not finished)
    if finished:
        backend.health.record_success(share)
        return
    if not service.failures.is_first_failure(job):
        return
    if not backend.health.record_failure(share):
        return
    if health.may_eject(len(service.ejected), len(service.backends)):
        backend.health.eject(now, service.rng)
        service.ejected.append(backend)


def find_probe(
    service: service_state.Service, harmless: bool, now: float
) -> service_state.Backend | None:
    """Return an ejected backend server that a task may be tried on."""
    for backend in service.ejected:
        if backend.leaving or now < backend.leaving_until:
            continue
        if backend.health.may_probe(now, harmless):
            return backend
    return None


def review(backend: service_state.Backend, now: float) -> None:
    """Look for tasks that do not end; to be called at intervals."""
    if not backend.flights and backend.is_settled(now):
        return
    backend.health.decay(now)
    learned = backend.service.learned
    name = backend.spec.name
    overdue = [
        one for one in backend.flights.values() if _is_overdue(one, now)
    ]
    suspect = max(FEWEST_OVERDUE, OVERDUE_SHARE * len(backend.flights))
    if len(overdue) >= suspect:
        oldest = min(overdue, key=_BEGAN)
        backend.stalled = backend.last_end <= oldest.began
        learned.observe_running(name, oldest.size, now - oldest.began)
    elif not backend.flights and now - backend.last_end > IDLE_SECONDS:
        learned.drift_to_mean(name, DRIFT)
    elif not overdue and backend.is_settled(now):
        return
    backend.server.speed = learned.speed(name)
    backend.update_room(now)


def _is_overdue(flight, now):
    expected = flight.ends - flight.began
    return now > flight.began + OVERDUE_FACTOR * expected + OVERDUE_SECONDS
