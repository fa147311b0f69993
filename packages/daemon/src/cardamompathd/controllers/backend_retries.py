"""Single requests that ran, failed and run again."""

from __future__ import annotations

import random
from typing import NamedTuple

from cardamompath_core import retries
from cardamompath_core import types

__all__ = [
    "Retries",
    "make_result",
]


class _Tried(NamedTuple):
    """A request that ran already and is to run again."""

    result: types.TaskResult
    """What is known of it if it does not."""
    retries: int


class Retries:
    """Requests between two tries, and the budget of each service.

    Parameters
    ----------
    rng : random.Random
        Where the jitter comes from.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._tried: dict[types.TaskRef, _Tried] = {}
        self._budgets: dict[str, retries.RetryBudget] = {}

    def __len__(self):
        """Return the number of requests between two tries."""
        return len(self._tried)

    def first_try(self, service: str) -> None:
        """Count a submission to a service."""
        self._budget(service).record_first_try()

    def note(self, ref: types.TaskRef, result: types.TaskResult) -> None:
        """Note what is known of a request that is to run again."""
        self._tried[ref] = _Tried(result, self._count(ref))

    def plan(
        self,
        ref: types.TaskRef,
        spec: types.JobSpec,
        result: types.TaskResult,
        left: float,
    ) -> float | None:
        """Return the seconds until a request is tried again.

        None if it is not; `left` are the seconds until its deadline.
        """
        count = self._count(ref)
        if count >= retries.MAX_RETRIES:
            return None
        if not retries.may_retry(spec, result):
            return None
        wait = retries.backoff(count, self._rng)
        service = spec.tasks[ref.index].service
        if wait >= left or not self._budget(service).spend():
            return None
        self._tried[ref] = _Tried(result, count + 1)
        return wait

    def forget(self, ref: types.TaskRef) -> types.TaskResult | None:
        """Return what was known of a request, for the last time."""
        tried = self._tried.pop(ref, None)
        return tried.result if tried else None

    def _count(self, ref):
        tried = self._tried.get(ref)
        return tried.retries if tried else 0

    def _budget(self, service):
        known = self._budgets.get(service)
        if known is None:
            known = self._budgets[service] = retries.RetryBudget()
        return known


def make_result(msg, verdict: types.TaskState) -> types.TaskResult:
    """Make the result of a task from the end of its exchange."""
    answer = msg.answer
    return types.TaskResult(
        verdict, answer.status, answer.payload, msg.backend
    )
