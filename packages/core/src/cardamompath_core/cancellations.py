"""Memory of cancelled batches, which may be submitted again."""

from __future__ import annotations

import collections
from typing import NamedTuple

__all__ = [
    "Cancellation",
    "CancellationMemory",
]

MEMORY_TIME = 30.0
"""Seconds for which a cancellation is remembered.  A request may arrive again
some seconds after its answer."""
MAX_CANCELLATIONS = 4096
"""Maximum number that are remembered; the oldest ones are forgotten first."""


class Cancellation(NamedTuple):
    """A batch that was cancelled."""

    name: str
    cancelled_at: float
    """In seconds of the clock of this instance."""
    existed: bool
    """Whether this instance had the batch, then or later."""


class CancellationMemory:
    """The batches that were cancelled lately."""

    def __init__(self):
        self._by_name: collections.OrderedDict[str, Cancellation] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._by_name)

    def add(self, name: str, cancelled_at: float, existed: bool) -> None:
        """Remember a cancellation.

        The first time of a batch counts, unless it is over by the second.
        """
        known = self._by_name.get(name)
        if known is not None and (
            cancelled_at > known.cancelled_at + MEMORY_TIME
        ):
            del self._by_name[name]
        elif known is not None:
            cancelled_at = known.cancelled_at
            existed = existed or known.existed
        self._by_name[name] = Cancellation(name, cancelled_at, existed)
        while len(self._by_name) > MAX_CANCELLATIONS:
            self._by_name.popitem(last=False)

    def find(self, name: str, now: float) -> Cancellation | None:
        """Return the cancellation of a batch, if it is remembered."""
        self._forget_old(now)
        return self._by_name.get(name)

    def recent(self, now: float) -> tuple[Cancellation, ...]:
        """Return all that are remembered, the oldest first."""
        self._forget_old(now)
        return tuple(self._by_name.values())

    def _forget_old(self, now):
        for name, known in list(self._by_name.items()):
            if now <= known.cancelled_at + MEMORY_TIME:
                return
            del self._by_name[name]
