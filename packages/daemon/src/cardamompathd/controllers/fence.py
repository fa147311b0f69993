"""The check of an incarnation's lease before each start."""

from __future__ import annotations

from cardamompath_core import leases
from cardamompathd import messages

__all__ = [
    "mark_lapsed",
    "lease_end",
    "update_lease",
]


def update_lease(known: dict[str, float], msg: messages.LeaseChanged) -> None:
    """Note a lease; one that lapsed is never taken up again."""
    if known.get(msg.owner) != leases.NEVER:
        known[msg.owner] = msg.until


def lease_end(known: dict[str, float], job: str) -> float:
    """Return the time until which tasks of a job may start."""
    owner = job.rpartition(".")[0]
    return known.get(owner, leases.FOREVER)


def mark_lapsed(known: dict[str, float], job: str) -> list[messages.Send]:
    """End the lease of a job's owner, which was found to have lapsed."""
    owner = job.rpartition(".")[0]
    if known.get(owner) == leases.NEVER:
        return []
    known[owner] = leases.NEVER
    lapsed = messages.LeaseChanged(owner, leases.NEVER)
    return [
        messages.Send(messages.JOBS, lapsed),
        messages.Send(messages.JOURNAL, lapsed),
    ]
