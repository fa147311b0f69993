"""Admission control: refuses a job that would miss its deadline."""

from __future__ import annotations

from collections.abc import Sequence

from cardamompath_core import admission
from cardamompath_core import queueing
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers.backends import service_state

__all__ = [
    "check",
]


def check(
    service: service_state.Service,
    tasks: Sequence[queueing.QueuedTask],
    now: float,
    msg: messages.Enqueue,
) -> types.Refused | None:
    """Check whether a service can run tasks before their deadline.

    Parameters
    ----------
    service : Service
        The service.
    tasks : sequence of QueuedTask
        Tasks of the job for this service.
    now : float
        The present time in seconds.
    msg : Enqueue
        The job.

    Returns
    -------
    Refused or None
        None if the tasks are admitted.
    """
    if not service.backends:
        return admission.refuse_no_backend(service.name)
    if not len(service.queue) and not msg.waited_for_memory:
        return None
    time_left = msg.deadline - now
    size = sum(task.size for task in tasks)
    load = admission.Load(service.queue.work, _throughput(service), size)
    if (
        admission.check_deadline(load, time_left, msg.waited_for_memory)
        is None
    ):
        return None
    longest = max(task.size for task in tasks)
    priority = queueing.priority(now, longest, size, service.parallelism)
    load = load._replace(queued_work=service.queue.work_ahead(priority))
    return admission.check_deadline(load, time_left, msg.waited_for_memory)


def _throughput(service):
    """Return the estimated seconds of work that are done per second.

    Servers that are paused count in full, so that a short pause causes
    no refusals.
    """
    own = sum(
        backend.server.home_slots * backend.server.speed
        for backend in service.backends
        if not (backend.leaving or backend.stalled or backend.health.ejected)
    )
    return own + min(service.borrow_limit.growth(), service.borrowable)
