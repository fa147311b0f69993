"""Job identifiers that an instance issued, and their states.

An identifier can be submitted once, within a limited time after its
issue.  One that is neither open nor known to the job controller has been
submitted before or has expired.  It must not run, but it cannot be
refused as not run either, because it may have run.
"""

from __future__ import annotations

from typing import Literal

from cardamompath_core import identity

__all__ = [
    "IdentifierState",
    "IssuedIdentifiers",
    "consume",
    "identifier_state",
    "issue",
    "next_job",
]

IdentifierState = Literal["open", "used", "never", "foreign"]
"""State of an identifier: ``used`` was submitted or has expired,
``never`` has not been issued yet, ``foreign`` was issued by another
incarnation."""


class IssuedIdentifiers:
    """Identifiers issued under all incarnations of one process.

    Parameters
    ----------
    owner : str
        Incarnation under which identifiers are issued at first.
    ttl : float
        Seconds after which an open identifier expires.
    limit : int
        Maximum number of open identifiers; the oldest expire first.
    """

    def __init__(self, owner: str, ttl: float, limit: int = 100_000):
        self.owner = owner
        self.ttl = ttl
        self.limit = limit
        self.counters: dict[str, int] = {owner: 0}
        """Number of identifiers issued under each incarnation."""
        self.open: dict[str, float] = {}
        """Time of issue of each open identifier, the oldest first."""


def next_job(identifiers: IssuedIdentifiers) -> str:
    """Issue an identifier that is submitted immediately."""
    identifiers.counters[identifiers.owner] += 1
    return f"{identifiers.owner}.{identifiers.counters[identifiers.owner]}"


def issue(identifiers: IssuedIdentifiers, now: float) -> str:
    """Issue an identifier that a caller may submit later."""
    job = next_job(identifiers)
    identifiers.open[job] = now
    _expire(identifiers, now)
    return job


def _expire(identifiers, now):
    while identifiers.open:
        oldest = next(iter(identifiers.open))
        fresh = now - identifiers.open[oldest] <= identifiers.ttl
        if fresh and len(identifiers.open) <= identifiers.limit:
            return
        del identifiers.open[oldest]


def identifier_state(
    identifiers: IssuedIdentifiers, job: str, now: float
) -> IdentifierState:
    """Return the state of an identifier.

    Raises
    ------
    IdentifierError
        If `job` is not a job identifier.
    """
    key = identity.parse_job(job)
    owner = identity.format_incarnation(key.owner)
    if owner not in identifiers.counters:
        return "foreign"
    if key.counter > identifiers.counters[owner]:
        return "never"
    issued_at = identifiers.open.get(job)
    if issued_at is None or now - issued_at > identifiers.ttl:
        return "used"
    return "open"


def consume(identifiers: IssuedIdentifiers, job: str) -> None:
    """Mark an identifier as used, so that it cannot be submitted again."""
    identifiers.open.pop(job, None)
