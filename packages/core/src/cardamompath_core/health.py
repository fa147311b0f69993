"""Outlier ejection of backend servers that fail their tasks.

Each outcome is evidence for one of two hypotheses: that the server fails
nearly everything, or that it fails as often as other servers do with the
kind of task.  The sum of the log-likelihood ratios, kept at zero or
above, is a cumulative sum test (CUSUM), which decides after the fewest
outcomes.
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
"""Log-likelihood ratio at which a server is ejected."""
EVIDENCE_TO_SUSPECT = 1.0
"""Log-likelihood ratio at which a server gets no borrowed tasks."""
MIN_EVIDENCE = 0.1
"""Evidence that has decayed below this value is reset to zero."""
DECAY_SHARE = 0.05
"""Share of the evidence that is removed in each interval."""
BROKEN_FAILURE_RATE = 0.95
"""Assumed failure rate of a broken server."""
MIN_FAILURE_RATE = 0.02
"""Lower bound on the assumed failure rate of a kind."""
RATE_GAIN = 0.02
"""Weight of a new outcome in the failure rate of a kind."""
MAX_KINDS = 4096
"""Maximum number of kinds whose failure rates are kept."""
MAX_FAILED_JOBS = 256
"""Number of recent jobs remembered as having a failure."""
MAX_EJECTED_SHARE = 1 / 3
"""Share of the backend servers of a service that may be ejected."""
MIN_PROBE_PAUSE = 1.0
"""Time until the first probe, in seconds."""
MAX_PROBE_PAUSE = 60.0
"""Maximum time between probes, in seconds."""
NON_RETRYABLE_PROBE_DELAY = 30.0
"""Additional seconds before a task that cannot be retried is used as a
probe."""
PROBES_TO_RETURN = 3
"""Number of successful probes after which a server is reinstated."""
SLOW_START = 2.0
"""Time that a reinstated server takes to reach its full share, in
seconds, starting at a quarter of it."""


class FailureRates:
    """Failure rate of each kind, and recent jobs with a failure."""

    def __init__(self):
        self._rates: dict[str, float] = {}
        self._jobs: collections.OrderedDict = collections.OrderedDict()

    def rate(self, kind: str) -> float:
        """Return the failure rate of a kind over all backend servers."""
        return max(MIN_FAILURE_RATE, self._rates.get(kind, MIN_FAILURE_RATE))

    def observe(self, kind: str, failed: bool) -> None:
        """Update the failure rate of a kind with an outcome."""
        rate = self._rates.get(kind)
        if rate is None:
            if len(self._rates) >= MAX_KINDS:
                return
            rate = MIN_FAILURE_RATE
        self._rates[kind] = rate + RATE_GAIN * (failed - rate)

    def is_first_failure(self, job: str) -> bool:
        """Record a failure of a job; return whether it is the first."""
        if job in self._jobs:
            return False
        self._jobs[job] = None
        if len(self._jobs) > MAX_FAILED_JOBS:
            self._jobs.popitem(last=False)
        return True


class Health:
    """Evidence against one backend server, and its probes if ejected."""

    __slots__ = (
        "ejected",
        "evidence",
        "pause",
        "probe_at",
        "probes_left",
        "probing",
        "reinstated_at",
    )

    def __init__(self):
        self.evidence = 0.0
        self.ejected = False
        self.pause = MIN_PROBE_PAUSE
        self.probe_at = 0.0
        self.probing = False
        self.probes_left = 0
        self.reinstated_at = -math.inf

    def record_success(self, failure_rate: float) -> None:
        """Update the evidence with a success.

        Parameters
        ----------
        failure_rate : float
            Failure rate of the kind of task.
        """
        weight = math.log(
            (1.0 - BROKEN_FAILURE_RATE) / (1.0 - min(failure_rate, 0.9))
        )
        self.evidence = max(0.0, self.evidence + weight)

    def record_failure(self, failure_rate: float) -> bool:
        """Update the evidence; return whether to eject the server.

        Parameters
        ----------
        failure_rate : float
            Failure rate of the kind of task.
        """
        weight = math.log(
            BROKEN_FAILURE_RATE / min(failure_rate, BROKEN_FAILURE_RATE)
        )
        self.evidence += weight
        return not self.ejected and self.evidence >= EVIDENCE_TO_EJECT

    def eject(self, now: float, rng: random.Random) -> None:
        """Eject the server until probes have succeeded."""
        self.ejected = True
        self.probing = False
        self.probes_left = PROBES_TO_RETURN
        self.probe_at = now + self.pause * rng.uniform(1.0, 1.5)
        self.pause = min(MAX_PROBE_PAUSE, 2.0 * self.pause)

    def may_probe(self, now: float, retryable: bool) -> bool:
        """Return whether a task may be sent to an ejected server as a probe.

        Parameters
        ----------
        now : float
            Current time in seconds.
        retryable : bool
            Whether the task may be retried elsewhere if it fails.
        """
        if not self.ejected or self.probing:
            return False
        delay = 0.0 if retryable else NON_RETRYABLE_PROBE_DELAY
        return now >= self.probe_at + delay

    def record_probe(
        self, succeeded: bool, now: float, rng: random.Random
    ) -> None:
        """Record the outcome of a probe."""
        self.probing = False
        if not succeeded:
            self.eject(now, rng)
            return
        self.probes_left -= 1
        if self.probes_left <= 0:
            self.ejected = False
            self.evidence = 0.0
            self.reinstated_at = now

    def traffic_share(self, now: float) -> float:
        """Return the share of its usual tasks that the server may get.

        It rises to 1 during the slow start after a reinstatement.
        """
        return min(1.0, 0.25 + (now - self.reinstated_at) / SLOW_START)

    def is_suspect(self) -> bool:
        """Return whether there is evidence against the server."""
        return self.evidence >= EVIDENCE_TO_SUSPECT

    def decay(self, now: float) -> None:
        """Reduce old evidence; to be called at regular intervals."""
        self.evidence *= 1.0 - DECAY_SHARE
        if self.evidence < MIN_EVIDENCE:
            self.evidence = 0.0
        if not self.ejected and now - self.reinstated_at > MAX_PROBE_PAUSE:
            self.pause = MIN_PROBE_PAUSE


def may_eject(ejected: int, servers: int) -> bool:
    """Return whether one more server of a service may be ejected.

    Parameters
    ----------
    ejected, servers : int
        Numbers of ejected servers and of all servers.
    """
    return ejected + 1 <= max(1, int(servers * MAX_EJECTED_SHARE)) < servers
