"""Learned service times of kinds and speeds of backend servers.

Both are learned in logarithms with bounded steps, so that a straggler
moves an estimate no further than any other slow task.

Tasks that wait inside crowded backend servers seem longer.  Speeds are
therefore relative to their mean, and sizes grow slower than they shrink:
otherwise a crowd would teach that waiting is usual.
"""

from __future__ import annotations

import math

__all__ = [
    "Estimates",
]

PRIOR_SIZE = 0.3
"""Seconds that a task of an unknown kind is expected to take."""
LEAST_TIME = 1e-4
"""Shortest time that is learned from, in seconds."""
FLOOR_GAIN = 0.05
"""Weight of one more task of a well-known kind."""
GROWING_SHARE = 0.1
"""Share of that weight for a task that took longer than expected."""
WARM_UP = 20
"""Tasks of a kind after which that share counts."""
SPEED_GAIN = 0.1
"""Weight of one more task in the speed of a backend server."""
LARGEST_STEP = 1.0
"""Largest surprise that counts, in logarithmic units."""
MAX_KINDS = 4096
"""Kinds kept of one service; more are treated as unknown."""


class _Kind:
    """Logarithm of the size of one kind, and how often it was seen."""

    __slots__ = ("count", "log_size")

    def __init__(self, log_size):
        self.log_size = log_size
        self.count = 0


class Estimates:
    """Sizes of the kinds of one service, and speeds of its servers."""

    def __init__(self):
        self._kinds: dict[str, _Kind] = {}
        self._speeds: dict[str, float] = {}
        self._mean = 0.0
        self._typical = math.log(PRIOR_SIZE)

    def size(self, kind: str, declared: float | None) -> float:
        """Return the expected seconds of a task at speed 1.

        What the caller declared is used for unknown kinds only.
        """
        known = self._kinds.get(kind)
        if known is not None:
            return math.exp(known.log_size)
        if declared is not None and declared > 0:
            return max(declared, LEAST_TIME)
        return math.exp(self._typical)

    def has_seen(self, kind: str) -> bool:
        """Return whether a kind was seen."""
        return kind in self._kinds

    def typical_size(self) -> float:
        """Return the geometric mean of the sizes seen, in seconds."""
        return math.exp(self._typical)

    def speed(self, server: str) -> float:
        """Return the learned speed of a backend server; 1 is usual."""
        return math.exp(self._relative(server))

    def _relative(self, server):
        known = self._speeds.get(server)
        return 0.0 if known is None else known - self._mean

    def _set_speed(self, server, log_speed):
        known = self._speeds.get(server, self._mean)
        self._speeds[server] = log_speed
        self._mean += (log_speed - known) / len(self._speeds)

    def observe(self, kind: str, server: str, elapsed: float) -> None:
        """Learn from a task that finished.

        Parameters
        ----------
        kind : str
            Kind of the task.
        server : str
            Name of the backend server.
        elapsed : float
            Seconds that the exchange took.
        """
        took = math.log(max(elapsed, LEAST_TIME))
        speed = self._relative(server)
        known = self._kinds.get(kind)
        if known is None:
            if len(self._kinds) >= MAX_KINDS:
                return
            known = self._kinds[kind] = _Kind(took + speed)
        surprise = _bounded(took + speed - known.log_size)
        known.count += 1
        gain = max(1.0 / known.count, FLOOR_GAIN) / 2
        if surprise > 0 and known.count > WARM_UP:
            gain *= GROWING_SHARE
        known.log_size += surprise * gain
        self._set_speed(server, speed + self._mean - SPEED_GAIN * surprise)
        self._typical += FLOOR_GAIN * (known.log_size - self._typical)

    def observe_running(self, server: str, size: float, age: float) -> None:
        """Learn from a task that has not ended after `age` seconds."""
        bound = math.log(size) - math.log(max(age, LEAST_TIME))
        if bound < self._relative(server):
            self._set_speed(server, bound + self._mean)

    def drift_to_mean(self, server: str, share: float) -> None:
        """Move the speed of an unused server towards the usual one."""
        if server in self._speeds:
            change = share * self._relative(server)
            self._set_speed(server, self._speeds[server] - change)

    def forget(self, server: str) -> None:
        """Forget the speed of a backend server that is gone."""
        if server in self._speeds:
            self._set_speed(server, self._mean)
            del self._speeds[server]


def _bounded(value):
    return max(-LARGEST_STEP, min(LARGEST_STEP, value))
