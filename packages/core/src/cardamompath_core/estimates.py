"""Estimates of the size of each kind of task and the speed of each server.

Both are moving averages of logarithms with bounded steps, so that a
straggler changes an estimate no more than any other slow task.

Tasks that queue inside overloaded backend servers appear longer.  Speeds
are therefore relative to their mean, and sizes grow more slowly than they
shrink; otherwise overload would raise the estimates for all tasks.
"""

from __future__ import annotations

import math

__all__ = [
    "Estimates",
]

DEFAULT_SIZE = 0.3
"""Expected seconds of a task before any task has been observed."""
MIN_TIME = 1e-4
"""Lower bound on observed times, in seconds."""
MIN_GAIN = 0.05
"""Minimum weight of a new task in the size of its kind, and weight of the
new size in the typical size."""
GROWTH_FACTOR = 0.1
"""Factor on the weight of a task that took longer than expected."""
WARM_UP_TASKS = 20
"""Number of tasks of a kind after which that factor applies."""
SPEED_GAIN = 0.1
"""Weight of a new task in the speed of a backend server."""
MAX_STEP = 1.0
"""Maximum deviation that counts, in units of the natural logarithm."""
MAX_KINDS = 4096
"""Maximum number of kinds kept per service; others count as unknown."""


class _KindSize:
    """Logarithm of the size of one kind, and number of observations."""

    __slots__ = ("count", "log_size")

    def __init__(self, log_size):
        self.log_size = log_size
        self.count = 0


class Estimates:
    """Sizes of the kinds of one service, and speeds of its servers."""

    def __init__(self):
        self._kinds: dict[str, _KindSize] = {}
        self._log_speeds: dict[str, float] = {}
        self._mean_log_speed = 0.0
        self._typical_log_size = math.log(DEFAULT_SIZE)

    def size(self, kind: str, declared: float | None) -> float:
        """Return the expected seconds of a task on a server of speed 1.

        The caller's declared time is used only for unknown kinds.
        """
        kind_size = self._kinds.get(kind)
        if kind_size is not None:
            return math.exp(kind_size.log_size)
        if declared is not None and declared > 0:
            return max(declared, MIN_TIME)
        return math.exp(self._typical_log_size)

    def has_seen(self, kind: str) -> bool:
        """Return whether a task of a kind has been observed."""
        return kind in self._kinds

    def typical_size(self) -> float:
        """Return the average observed size in seconds (geometric mean)."""
        return math.exp(self._typical_log_size)

    def speed(self, server: str) -> float:
        """Return the speed of a backend server relative to the mean."""
        return math.exp(self._relative_log_speed(server))

    def _relative_log_speed(self, server):
        log_speed = self._log_speeds.get(server)
        return 0.0 if log_speed is None else log_speed - self._mean_log_speed

    def _set_speed(self, server, log_speed):
        previous = self._log_speeds.get(server, self._mean_log_speed)
        self._log_speeds[server] = log_speed
        self._mean_log_speed += (log_speed - previous) / len(self._log_speeds)

    def observe(self, kind: str, server: str, elapsed: float) -> None:
        """Update the estimates from a task that finished.

        Parameters
        ----------
        kind : str
            Kind of the task.
        server : str
            Name of the backend server.
        elapsed : float
            Duration of the exchange in seconds.
        """
        log_time = math.log(max(elapsed, MIN_TIME))
        log_speed = self._relative_log_speed(server)
        kind_size = self._kinds.get(kind)
        if kind_size is None:
            if len(self._kinds) >= MAX_KINDS:
                return
            kind_size = self._kinds[kind] = _KindSize(log_time + log_speed)
        deviation = _clamp(log_time + log_speed - kind_size.log_size)
        kind_size.count += 1
        gain = max(1.0 / kind_size.count, MIN_GAIN) / 2
        if deviation > 0 and kind_size.count > WARM_UP_TASKS:
            gain *= GROWTH_FACTOR
        kind_size.log_size += deviation * gain
        self._set_speed(
            server,
            log_speed + self._mean_log_speed - SPEED_GAIN * deviation,
        )
        self._typical_log_size += MIN_GAIN * (
            kind_size.log_size - self._typical_log_size
        )

    def observe_running(self, server: str, size: float, age: float) -> None:
        """Lower a server's speed if a task has not ended after `age`.

        Parameters
        ----------
        server : str
            Name of the backend server.
        size, age : float
            Expected size of the task, and seconds since its start.
        """
        bound = math.log(size) - math.log(max(age, MIN_TIME))
        if bound < self._relative_log_speed(server):
            self._set_speed(server, bound + self._mean_log_speed)

    def drift_to_mean(self, server: str, share: float) -> None:
        """Move the speed of an unused server towards the mean by a share."""
        if server in self._log_speeds:
            change = share * self._relative_log_speed(server)
            self._set_speed(server, self._log_speeds[server] - change)

    def forget(self, server: str) -> None:
        """Discard the speed of a backend server that was removed."""
        if server in self._log_speeds:
            self._set_speed(server, self._mean_log_speed)
            del self._log_speeds[server]


def _clamp(value):
    return max(-MAX_STEP, min(MAX_STEP, value))
