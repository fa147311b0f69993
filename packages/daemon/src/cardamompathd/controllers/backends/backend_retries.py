"""Retries of idempotent single requests."""

from __future__ import annotations

import random
from typing import NamedTuple

from cardamompath_core import retries
from cardamompath_core import types

__all__ = [
    "Retries",
    "make_result",
]


class _PendingRetry(NamedTuple):
    """A request that was run and is to run again."""

    result: types.TaskResult
    """Result of the last attempt, which stands if it is not run again."""
    retries: int
    """Retries so far, the one that is planned included."""


class Retries:
    """Requests to be retried, and the retry budget of each service.

    Parameters
    ----------
    rng : random.Random
        Draws the jitter.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._pending: dict[types.TaskRef, _PendingRetry] = {}
        self._budgets: dict[str, retries.RetryBudget] = {}

    def __len__(self):
        """Return the number of requests to be retried."""
        return len(self._pending)

    def count_submission(self, service: str) -> None:
        """Count a submission, which adds to its service's retry budget."""
        self._get_budget(service).record_first_try()

    def record_result(
        self, ref: types.TaskRef, result: types.TaskResult
    ) -> None:
        """Keep the result of an attempt whose request is to run again."""
        self._pending[ref] = _PendingRetry(result, self._retry_count(ref))

    def plan_retry(
        self,
        ref: types.TaskRef,
        spec: types.JobSpec,
        result: types.TaskResult,
        time_left: float,
    ) -> float | None:
        """Plan a retry and return the seconds until it is due.

        Parameters
        ----------
        ref : TaskRef
            The request.
        spec : JobSpec
            Its specification.
        result : TaskResult
            Result of the last attempt.
        time_left : float
            Seconds until its deadline.

        Returns
        -------
        float or None
            None if the request is not retried.
        """
        count = self._retry_count(ref)
        if count >= retries.MAX_RETRIES:
            return None
        if not retries.may_retry(spec, result):
            return None
        wait = retries.backoff(count, self._rng)
        service = spec.tasks[ref.index].service
        if wait >= time_left or not self._get_budget(service).spend():
            return None
        self._pending[ref] = _PendingRetry(result, count + 1)
        return wait

    def pop_result(self, ref: types.TaskRef) -> types.TaskResult | None:
        """Remove a request and return its last result, None if unknown."""
        pending = self._pending.pop(ref, None)
        return pending.result if pending else None

    def _retry_count(self, ref):
        pending = self._pending.get(ref)
        return pending.retries if pending else 0

    def _get_budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = retries.RetryBudget()
        return budget


def make_result(msg, verdict: types.TaskState) -> types.TaskResult:
    """Make the result of a task from its ended attempt.

    Parameters
    ----------
    msg : AttemptEnded
        The end of the attempt.
    verdict : str
        State of the task that the answer proves.
    """
    answer = msg.answer
    return types.TaskResult(
        verdict, answer.status, answer.payload, msg.backend
    )
