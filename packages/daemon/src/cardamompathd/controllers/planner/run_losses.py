"""Memory of the runs that were lost with their executors, by batch."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterable

from cardamompathd import pool_messages

__all__ = [
    "LossMemory",
]

MAX_BATCHES = 4096
"""Maximum number of batches of which losses are kept."""
MAX_RECENT = 64
"""Maximum number of batches of which a new instance is told."""


class LossMemory:
    """The losses of the last batches that had any."""

    def __init__(self):
        self._by_batch: collections.OrderedDict[
            str, dict[tuple, pool_messages.RunLoss]
        ] = collections.OrderedDict()

    def __contains__(self, batch: str) -> bool:
        return batch in self._by_batch

    def of_batch(self, batch: str) -> tuple[pool_messages.RunLoss, ...]:
        """Return the losses of a batch."""
        return tuple(self._by_batch.get(batch, {}).values())

    def recent_crashes(
        self,
    ) -> dict[str, tuple[pool_messages.RunLoss, ...]]:
        """Return the losses by crashes of the last batches that had any."""
        crashes = {}
        for batch in itertools.islice(reversed(self._by_batch), MAX_RECENT):
            losses = tuple(
                loss for loss in self.of_batch(batch) if loss.crashed
            )
            if losses:
                crashes[batch] = losses
        return crashes

    def add(self, batch: str, losses: Iterable[pool_messages.RunLoss]) -> None:
        """Add losses; a crash that is known stays known."""
        for loss in losses:
            known = self._by_batch.setdefault(batch, {})
            key = (loss.step, loss.index, loss.executor, loss.incarnation)
            previous = known.get(key, loss)
            known[key] = previous._replace(
                crashed=previous.crashed or loss.crashed
            )
        while len(self._by_batch) > MAX_BATCHES:
            self._by_batch.popitem(last=False)

    def forget(self, executor: str, incarnation: int) -> None:
        """Forget the losses of an executor that did not crash."""
        for batch, known in list(self._by_batch.items()):
            for key, loss in list(known.items()):
                if (loss.executor, loss.incarnation) == (
                    executor,
                    incarnation,
                ):
                    del known[key]
            if not known:
                del self._by_batch[batch]

    def mark_crashed(
        self, executor: str, incarnation: int
    ) -> dict[str, tuple[pool_messages.RunLoss, ...]]:
        """Note that an incarnation of an executor crashed.

        Returns
        -------
        dict
            The losses that were not known to come from a crash, by batch.
        """
        changed = {}
        for batch, known in self._by_batch.items():
            marked = {
                key: loss._replace(crashed=True)
                for key, loss in known.items()
                if (loss.executor, loss.incarnation) == (executor, incarnation)
                and not loss.crashed
            }
            if marked:
                known.update(marked)
                changed[batch] = tuple(marked.values())
        return changed
