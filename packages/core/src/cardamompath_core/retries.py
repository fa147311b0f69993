"""Retry policy: which requests are retried, and when."""

from __future__ import annotations

import random

from cardamompath_core import types

__all__ = [
    "MAX_RETRIES",
    "RetryBudget",
    "backoff",
    "may_retry",
    "refusal_backoff",
]

RETRY_SHARE = 0.1
"""Number of retries that the budget allows per first try."""
MAX_TOKENS = 10.0
"""Maximum number of retries that the budget accumulates."""
MAX_RETRIES = 2
"""Maximum number of retries of one request."""
MIN_BACKOFF = 0.025
MAX_BACKOFF = 1.0
"""Bounds of the delay before a retry, in seconds, without jitter."""
MIN_REFUSAL_BACKOFF = 0.1
MAX_REFUSAL_BACKOFF = 1.0
"""Bounds of the time for which a backend server that refused a task gets
no tasks, in seconds, without jitter."""
MIN_SERVER_ERROR = 500
"""Lowest HTTP status that counts as a transient server error."""


class RetryBudget:
    """Token bucket filled by first tries and emptied by retries."""

    __slots__ = ("tokens",)

    def __init__(self):
        self.tokens = MAX_TOKENS

    def record_first_try(self) -> None:
        """Count a first try."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_SHARE)

    def spend(self) -> bool:
        """Take a token for a retry; return False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def may_retry(spec: types.JobSpec, result: types.TaskResult) -> bool:
    """Return whether a request may be retried after a result.

    Only a single request that its caller declared idempotent may be
    retried, never a task of a job.
    """
    if not (spec.single and spec.idempotent):
        return False
    if result.state == "failed":
        return result.status >= MIN_SERVER_ERROR
    return result.state == "unknown"


def backoff(retries: int, rng: random.Random) -> float:
    """Return the delay before a retry in seconds.

    Parameters
    ----------
    retries : int
        Number of previous retries of the request.
    rng : random.Random
        Source of the jitter.
    """
    longest = min(MAX_BACKOFF, MIN_BACKOFF * 2.0**retries)
    return longest * rng.uniform(0.5, 1.0)


def refusal_backoff(refusals: int, rng: random.Random) -> float:
    """Return for how many seconds a refusing server gets no tasks.

    Parameters
    ----------
    refusals : int
        Number of consecutive refusals before this one.
    rng : random.Random
        Source of the jitter.
    """
    longest = min(
        MAX_REFUSAL_BACKOFF, MIN_REFUSAL_BACKOFF * 2.0 ** min(refusals, 10)
    )
    return longest * rng.uniform(0.5, 1.0)
