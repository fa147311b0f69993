"""The lease check before each start of a task.

The functions take a mapping from own incarnations to the ends of their
leases.  An owner that is not in it has no lease that can lapse: it was
never announced, or it is the prefix of single requests.
"""

from __future__ import annotations

from cardamompath_core import leases
from cardamompathd import messages

__all__ = [
    "lease_end",
    "mark_lapsed",
    "update_lease",
]


def update_lease(
    lease_ends: dict[str, float], msg: messages.LeaseChanged
) -> None:
    """Store the end of a lease, unless the lease lapsed before."""
    if lease_ends.get(msg.owner) != leases.NEVER:
        lease_ends[msg.owner] = msg.until


def lease_end(lease_ends: dict[str, float], job_id: str) -> float:
    """Return the time before which tasks of a job may start."""
    owner = job_id.rpartition(".")[0]
    return lease_ends.get(owner, leases.FOREVER)


def mark_lapsed(
    lease_ends: dict[str, float], job_id: str
) -> list[messages.Send]:
    """Mark the lease of a job's owner as lapsed, and report it once."""
    owner = job_id.rpartition(".")[0]
    if lease_ends.get(owner) == leases.NEVER:
        return []
    lease_ends[owner] = leases.NEVER
    lapsed = messages.LeaseChanged(owner, leases.NEVER)
    return [
        messages.Send(messages.JOBS, lapsed),
        messages.Send(messages.JOURNAL, lapsed),
    ]
