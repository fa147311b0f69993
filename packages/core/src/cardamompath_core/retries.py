"""Which requests are tried again, and when."""

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
"""Retries allowed for each first try."""
MAX_TOKENS = 10.0
"""Retries that may be saved up."""
MAX_RETRIES = 2
"""Retries of one request."""
FIRST_BACKOFF = 0.025
LONGEST_BACKOFF = 1.0
"""Bounds of the time until a retry, in seconds."""
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 1.0
"""Bounds of the time until a server that refuses is tried again."""
SERVER_ERROR = 500
"""Least HTTP status after which another try may go better."""


class RetryBudget:
    """Token bucket that first tries fill and retries empty."""

    __slots__ = ("tokens",)

    def __init__(self):
        self.tokens = MAX_TOKENS

    def record_first_try(self) -> None:
        """Count a first try."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_SHARE)

    def spend(self) -> bool:
        """Take a retry out of the budget, if one is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def may_retry(spec: types.JobSpec, result: types.TaskResult) -> bool:
    """Return whether a result allows the same request to run again.

    Only a single request that its caller called idempotent may; no task
    of a job ever does.
    """
    if not (spec.single and spec.idempotent):
        return False
    if result.state == "failed":
        return result.status >= SERVER_ERROR
    return result.state == "unknown"


def backoff(retries: int, rng: random.Random) -> float:
    """Return the seconds until a retry, after so many before it."""
    longest = min(LONGEST_BACKOFF, FIRST_BACKOFF * 2.0**retries)
    return longest * rng.uniform(0.5, 1.0)


def refusal_backoff(refusals: int, rng: random.Random) -> float:
    """Return the seconds for which a server that refuses is left alone.

    Parameters
    ----------
    refusals : int
        Refusals in a row before this one.
    rng : random.Random
        Where the jitter comes from.
    """
    longest = min(LONGEST_PAUSE, FIRST_PAUSE * 2.0 ** min(refusals, 10))
    return longest * rng.uniform(0.5, 1.0)
