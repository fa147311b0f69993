"""How many tasks an instance may have in flight beyond its own share.

Instances borrow one another's idle slots without asking.  Whether a
borrowed slot was idle shows in the time that the task took.
"""

from __future__ import annotations

__all__ = [
    "BorrowLimit",
    "connection_share",
]

LEAST_BORROWED = 1.0
"""Borrowed tasks that probe for idle slots when there are none."""
GROWTH = 1.0
"""Growth with each borrowed task that did not wait."""
SHRINK = 0.7
"""Factor on each borrowed task that waited."""
QUEUED_FACTOR = 1.5
"""A task that takes this many times what was expected has waited."""
QUEUED_SECONDS = 0.02
"""Shortest wait that counts, in seconds."""


class BorrowLimit:
    """An additive-increase, multiplicative-decrease limit.

    Parameters
    ----------
    start : float
        Tasks that may be borrowed at first.
    """

    __slots__ = ("current", "shrunk_at", "start")

    def __init__(self, start: float = 8.0):
        self.start = start
        self.current = start
        self.shrunk_at = -float("inf")

    def observe(
        self, expected: float, elapsed: float, began: float, now: float
    ) -> None:
        """Learn from a borrowed task that finished.

        Parameters
        ----------
        expected, elapsed : float
            Seconds that the task should have taken and did take.
        began, now : float
            When it started, and the present time.
        """
        waited = elapsed - expected
        if elapsed > QUEUED_FACTOR * expected and waited > QUEUED_SECONDS:
            self.shrink(began, now)
        else:
            self.current += GROWTH

    def growth(self) -> float:
        """Return how far tasks that did not wait have raised the limit."""
        return max(0.0, self.current - self.start)

    def shrink(self, began: float, now: float) -> None:
        """Lower the limit, once for all tasks that started before."""
        if began <= self.shrunk_at:
            return
        self.shrunk_at = now
        self.current = max(LEAST_BORROWED, self.current * SHRINK)


def connection_share(connections: int, instances: int) -> int:
    """Return the connections that one of some instances may open."""
    return max(1, connections // max(1, instances))
