"""Which backend servers get no work because they fail it.

Each outcome is weighed as evidence between two guesses: that the server
fails everything, and that it fails as often as its peers do with this
kind of task.  The sum of the evidence, which never falls below zero, is
a cumulative sum test: it decides after the fewest outcomes.
"""

from __future__ import annotations

import collections
import math
import random

__all__ = [
    "FailureRates",
    "Health",
    "may_eject",
]

EVIDENCE_TO_EJECT = 7.0
"""Logarithm of the odds at which a server is ejected."""
EVIDENCE_TO_SUSPECT = 1.0
"""The same at which a server gets no borrowed tasks."""
LEAST_EVIDENCE = 0.1
"""Evidence below it is none."""
FADING = 0.05
"""Share of the evidence that is forgotten at each interval."""
BROKEN_FAILS = 0.95
"""Share of its tasks that a broken server fails."""
LEAST_SHARE = 0.02
"""Least share of failures that a kind is thought to have."""
SHARE_GAIN = 0.02
"""Weight of one more outcome in the failure share of a kind."""
MOST_KINDS = 4096
REMEMBERED_JOBS = 256
"""Jobs whose failures were counted already."""
MOST_EJECTED = 1 / 3
"""Share of the backend servers of a service that may be ejected."""
FIRST_PAUSE = 1.0
"""Seconds until the first probe."""
LONGEST_PAUSE = 60.0
"""Longest time between probes, in seconds."""
HARMFUL_PROBE_WAIT = 30.0
"""Seconds more until a task is tried that cannot be run again."""
PROBES = 3
"""Probes that have to succeed before a server is back."""
SLOW_START = 2.0
"""Seconds in which a server that is back gets to its full share."""


class FailureRates:
    """Failure share of each kind, and jobs that failed already."""

    def __init__(self):
        self._shares: dict[str, float] = {}
        self._jobs: collections.OrderedDict = collections.OrderedDict()

    def rate(self, kind: str) -> float:
        """Return the share of a kind's tasks that fail anywhere."""
        return max(LEAST_SHARE, self._shares.get(kind, LEAST_SHARE))

    def observe(self, kind: str, failed: bool) -> None:
        """Count an outcome."""
        known = self._shares.get(kind)
        if known is None:
            if len(self._shares) >= MOST_KINDS:
                return
            known = LEAST_SHARE
        self._shares[kind] = known + SHARE_GAIN * (failed - known)

    def is_first_failure(self, job: str) -> bool:
        """Return whether this is the first failure of a job."""
        if job in self._jobs:
            return False
        self._jobs[job] = None
        if len(self._jobs) > REMEMBERED_JOBS:
            self._jobs.popitem(last=False)
        return True


class Health:
    """Evidence against one backend server, and its way back."""

    __slots__ = (
        "ejected",
        "evidence",
        "pause",
        "probe_at",
        "probes_left",
        "probing",
        "returned_at",
    )

    def __init__(self):
        self.evidence = 0.0
        self.ejected = False
        self.pause = FIRST_PAUSE
        self.probe_at = 0.0
        self.probing = False
        self.probes_left = 0
        self.returned_at = -math.inf

    def record_success(self, share: float) -> None:
        """Weigh a task that finished; `share` is its kind's failures."""
        weight = math.log((1.0 - BROKEN_FAILS) / (1.0 - min(share, 0.9)))
        self.evidence = max(0.0, self.evidence + weight)

    def record_failure(self, share: float) -> bool:
        """Weigh a failure; return whether the server is to be ejected."""
        weight = math.log(BROKEN_FAILS / min(share, BROKEN_FAILS))
        self.evidence += weight
        return not self.ejected and self.evidence >= EVIDENCE_TO_EJECT

    def eject(self, now: float, rng: random.Random) -> None:
        """Give no more work until a probe succeeds."""
        self.ejected = True
        self.probing = False
        self.probes_left = PROBES
        self.probe_at = now + self.pause * rng.uniform(1.0, 1.5)
        self.pause = min(LONGEST_PAUSE, 2.0 * self.pause)

    def may_probe(self, now: float, harmless: bool) -> bool:
        """Return whether one task may be tried on an ejected server.

        Parameters
        ----------
        now : float
            The present time in seconds.
        harmless : bool
            Whether the task may be run again elsewhere if it fails.
        """
        if not self.ejected or self.probing:
            return False
        patience = 0.0 if harmless else HARMFUL_PROBE_WAIT
        return now >= self.probe_at + patience

    def record_probe(
        self, succeeded: bool, now: float, rng: random.Random
    ) -> None:
        """Take the outcome of a probe."""
        self.probing = False
        if not succeeded:
            self.eject(now, rng)
            return
        self.probes_left -= 1
        if self.probes_left <= 0:
            self.ejected = False
            self.evidence = 0.0
            self.returned_at = now

    def traffic_share(self, now: float) -> float:
        """Return the share of its usual work for a server that is back."""
        return min(1.0, 0.25 + (now - self.returned_at) / SLOW_START)

    def is_suspect(self) -> bool:
        """Return whether a failure was not made up for yet."""
        return self.evidence >= EVIDENCE_TO_SUSPECT

    def decay(self, now: float) -> None:
        """Let old evidence count less; to be called at intervals."""
        self.evidence *= 1.0 - FADING
        if self.evidence < LEAST_EVIDENCE:
            self.evidence = 0.0
        if not self.ejected and now - self.returned_at > LONGEST_PAUSE:
            self.pause = FIRST_PAUSE


def may_eject(ejected: int, servers: int) -> bool:
    """Return whether one more of some servers may be ejected."""
    return ejected + 1 <= max(1, int(servers * MOST_EJECTED)) < servers
