"""Limit on the tasks in flight beyond an instance's own slots.

Instances borrow each other's idle slots without asking.  Whether a
borrowed slot was idle shows in the time that the task took.
"""

from __future__ import annotations

__all__ = [
    "BorrowLimit",
    "connection_share",
]

MIN_BORROWED = 1.0
"""Lower bound of the limit: borrowed tasks that probe for idle slots."""
INCREASE = 1.0
"""Increase of the limit for each borrowed task that did not wait."""
DECREASE_FACTOR = 0.7
"""Factor on the limit for a borrowed task that waited."""
QUEUED_FACTOR = 1.5
"""Ratio of actual to expected time above which a task has waited."""
MIN_QUEUED_SECONDS = 0.02
"""Minimum wait that counts, in seconds."""


class BorrowLimit:
    """An additive-increase, multiplicative-decrease limit.

    Parameters
    ----------
    initial : float
        Number of tasks that may be borrowed at first.
    """

    __slots__ = ("current", "initial", "shrunk_at")

    def __init__(self, initial: float = 8.0):
        self.initial = initial
        self.current = initial
        self.shrunk_at = -float("inf")

    def observe(
        self, expected: float, elapsed: float, began: float, now: float
    ) -> None:
        """Adjust the limit to a borrowed task that finished.

        Parameters
        ----------
        expected, elapsed : float
            Expected and actual time of the task in seconds.
        began, now : float
            Start time of the task, and the current time.
        """
        waited = elapsed - expected
        if elapsed > QUEUED_FACTOR * expected and waited > MIN_QUEUED_SECONDS:
            self.shrink(began, now)
        else:
            self.current += INCREASE

    def growth(self) -> float:
        """Return by how much the limit exceeds its initial value."""
        return max(0.0, self.current - self.initial)

    def shrink(self, began: float, now: float) -> None:
        """Lower the limit because a task that started at `began` waited.

        Has no effect if the limit was lowered after that start: tasks
        that were in flight together lower it only once.
        """
        if began <= self.shrunk_at:
            return
        self.shrunk_at = now
        self.current = max(MIN_BORROWED, self.current * DECREASE_FACTOR)


def connection_share(connections: int, instances: int) -> int:
    """Return how many of a server's connections each instance may open."""
    return max(1, connections // max(1, instances))
