"""Whether the backend servers can do a job before its deadline."""

from __future__ import annotations

from collections.abc import Sequence

from cardamompath_core import admission
from cardamompath_core import queueing
from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.controllers import service_state

__all__ = [
    "refuse",
]


def refuse(
    service: service_state.Service,
    tasks: Sequence[queueing.QueuedTask],
    now: float,
    msg: messages.Enqueue,
) -> types.Refused | None:
    """Refuse the tasks of a job for a service that cannot do them.

    Parameters
    ----------
    service : Service
        The service.
    tasks : sequence of QueuedTask
        What the job wants of it.
    now : float
        The present time in seconds.
    msg : Enqueue
        The job.
    """
    if not service.backends:
        return admission.refuse_no_backend(service.name)
    if not len(service.queue) and not msg.waited:
        return None
    left = msg.deadline - now
    size = sum(one.size for one in tasks)
    load = admission.Load(service.queue.work, _width(service), size)
    if admission.check_deadline(load, left, msg.waited) is None:
        return None
    longest = max(one.size for one in tasks)
    place = queueing.priority(now, longest, size, service.width)
    load = load._replace(queued_work=service.queue.work_ahead(place))
    return admission.check_deadline(load, left, msg.waited)


def _width(service):
    """Return the work done in a second, as far as it is known.

    Servers that paused count in full, so that a short pause refuses
    nothing.
    """
    own = sum(
        one.server.home_slots * one.server.speed
        for one in service.backends
        if not (one.leaving or one.stalled or one.health.ejected)
    )
    return own + min(service.borrow.growth(), service.lent)
