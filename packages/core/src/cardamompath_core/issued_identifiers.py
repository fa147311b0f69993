"""The identifiers that an instance issued, and what became of them.

An identifier can be submitted once, within a time from its issue.  One
that is neither open nor known to the jobs any more was used or has
expired: it is never run, and nobody can say that it did not run.
"""

from __future__ import annotations

from typing import Literal

from cardamompath_core import identity

__all__ = [
    "Book",
    "Standing",
    "issue",
    "next_job",
    "standing",
    "take",
]

Standing = Literal["open", "used", "never", "foreign"]
"""``used`` was submitted or expired, ``never`` was not issued yet,
``foreign`` belongs to another instance's incarnation."""


class Book:
    """Identifiers issued under each incarnation of one process.

    Parameters
    ----------
    owner : str
        The incarnation under which identifiers are issued at first.
    ttl : float
        Seconds from the issue of an identifier until it expires.
    limit : int
        Most identifiers that are open; the oldest expire first.
    """

    def __init__(self, owner: str, ttl: float, limit: int = 100_000):
        self.owner = owner
        self.ttl = ttl
        self.limit = limit
        self.counters: dict[str, int] = {owner: 0}
        self.open: dict[str, float] = {}


def next_job(book: Book) -> str:
    """Issue an identifier that is submitted at once."""
    book.counters[book.owner] += 1
    return f"{book.owner}.{book.counters[book.owner]}"


def issue(book: Book, now: float) -> str:
    """Issue an identifier that a caller may submit later."""
    job = next_job(book)
    book.open[job] = now
    _expire(book, now)
    return job


def _expire(book, now):
    while book.open:
        oldest = next(iter(book.open))
        fresh = now - book.open[oldest] <= book.ttl
        if fresh and len(book.open) <= book.limit:
            return
        del book.open[oldest]


def standing(book: Book, job: str, now: float) -> Standing:
    """Return what became of an identifier.

    Raises
    ------
    IdentifierError
        If `job` is no identifier.
    """
    key = identity.parse_job(job)
    owner = identity.format_incarnation(key.owner)
    if owner not in book.counters:
        return "foreign"
    if key.counter > book.counters[owner]:
        return "never"
    issued = book.open.get(job)
    if issued is None or now - issued > book.ttl:
        return "used"
    return "open"


def take(book: Book, job: str) -> None:
    """Use an identifier, so that it can never be submitted again."""
    book.open.pop(job, None)
