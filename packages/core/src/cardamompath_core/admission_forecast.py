"""Forecast of when a batch starts, from the runs that are going on.

Answers loads in which all executors are busy and callers compete for what
becomes free: the wait of a batch depends on when the present runs end, and
on the work that starts before it.

- The free resources of an executor and the expected ends of its runs give
  capacity events: times at which slots, each with room for a task of a given
  size, become free.  The slot of a run is divided over the 0.1, 0.5 and 0.9
  quantiles of its end, as the sum over many runs then has the right shape.
- Tasks ahead take slots in their order and return them when they end.  The
  wait is the time at which the last task of the batch gets a slot.
- Forecast waits are compared with actual ones, and a lasting ratio of the
  two is applied to later forecasts.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import batch_order
from cardamompath_core import executors
from cardamompath_core import run_ends

__all__ = [
    "MEAN_FACTOR",
    "Bias",
    "CapacityProfile",
    "Returns",
    "RunEnd",
    "STEP",
    "Work",
    "executor_events",
    "expected_waits",
    "is_late",
    "latest_start",
    "run_end",
    "size_class",
]

STEP = 0.01
"""Seconds to which capacity events are rounded; half of the error that is
allowed for a forecast."""
HORIZON_STEPS = 300
"""Number of steps of a forecast, and so of its capacity events: 3 s, twice
the time that callers wait."""
MIN_SLOTS = 1e-6
"""Slots that count as none; sums of shares are rounded."""
MEDIAN_SHARE = 0.5
"""Share of its last slot that may be missing at the expected start: the slot
is as likely to be free by then as not."""
MAX_SLOTS = 1000
"""Slots of an executor for tasks that take no CPU."""
QUANTILE_SHARES = (0.3, 0.4, 0.3)
"""Weights of the 0.1, 0.5 and 0.9 quantiles that preserve mean and variance
(Swanson's rule)."""
MEAN_FACTOR = (
    1.0 + run_ends.STRAGGLER_SHARE * (run_ends.STRAGGLER_FACTOR - 1.0)
) * math.exp(run_ends.BATCH_SPREAD**2 / 2.0)
"""Mean run time relative to the usual one, which is the median."""
CLASSES_PER_DOUBLING = 4
"""Size classes for each factor of 2 in the CPU of a task; sizes within one
differ by less than a fifth."""
MAX_EXACT_SLOTS = 4
"""Number of tasks on an executor up to which a size class must not lower it;
of more, one that is missing is less than the step between classes."""
MIN_COMPARED_WAIT = 0.02
"""Seconds of a wait from which its ratio to the forecast says something; the
error that is allowed for shorter ones."""
BIAS_GAIN = 0.02
"""Weight of a compared wait in the bias.  A hundred waits change it by most
of a lasting error, and one straggler by little."""
MAX_BIAS_STEP = 1.0
"""Maximum deviation of a wait that counts, as a natural logarithm."""
MAX_BIAS = math.log(2.0)
"""Bound on the logarithm of the correction.  A larger error comes from a
change of load, which the next events show."""


class RunEnd(NamedTuple):
    """When a run ends, in seconds of the caller's clock."""

    early: float
    """0.1 quantile, mirrored from the 0.9 quantile in the logarithm."""
    median: float
    late: float
    """0.9 quantile."""
    resources: executors.Resources
    """What it releases."""


class Work(NamedTuple):
    """Tasks that take slots one after the other."""

    tasks: int
    run_time: float
    """Mean seconds for which each of them takes a slot."""
    limit: float = math.inf
    """Seconds after which they do not start any more, and take no slots."""


def size_class(
    resources: executors.Resources,
    capacities: Iterable[executors.Resources] = (),
) -> executors.Resources:
    """Return the representative size of tasks like one, for a profile.

    Parameters
    ----------
    resources : Resources
        What a task takes.
    capacities : iterable of Resources
        Capacities of the executors.  Where few such tasks fit, as many of the
        representative size do.
    """
    if resources.cpu <= 0:
        return resources
    step = round(math.log2(resources.cpu) * CLASSES_PER_DOUBLING)
    cpu = round(2.0 ** (step / CLASSES_PER_DOUBLING))
    for capacity in capacities:
        fitting = capacity.cpu // resources.cpu
        if 0 < fitting <= MAX_EXACT_SLOTS:
            cpu = min(cpu, capacity.cpu // fitting)
    return resources._replace(cpu=cpu)


def run_end(
    started_at: float,
    usual: float,
    resources: executors.Resources,
    now: float,
    known_size: bool = False,
) -> RunEnd:
    """Return the forecast of the end of a run.

    Parameters
    ----------
    started_at : float
        When it started, in seconds.
    usual : float
        Usual seconds of such a run on this executor; positive.
    resources : Resources
        What it releases.
    now : float
        Present time in seconds.
    known_size : bool
        Whether `usual` comes from other tasks of the same batch.
    """
    left = run_ends.remaining(max(0.0, now - started_at), usual, known_size)
    bound = max(left.bound, left.expected, run_ends.ELAPSED_GRID[0] * usual)
    early = left.expected * left.expected / bound
    return RunEnd(now + early, now + left.expected, now + bound, resources)


def executor_events(
    needed: executors.Resources,
    free: executors.Resources,
    ends: Iterable[RunEnd],
    now: float,
) -> list[tuple[float, float]]:
    """Return when slots for tasks become free on an executor.

    Parameters
    ----------
    needed : Resources
        What a task takes.
    free : Resources
        What no run takes at present.
    ends : iterable of RunEnd
        The runs there.
    now : float
        Present time in seconds.

    Returns
    -------
    list of tuple of float
        Time in seconds, and number of slots.
    """
    cpu, memory, accelerators = free
    count = _count(needed, cpu, memory, accelerators)
    events = [(now, float(count))] if count else []
    for end in sorted(ends, key=_median):
        cpu += end.resources.cpu
        memory += end.resources.memory
        accelerators += end.resources.accelerators
        fitting = _count(needed, cpu, memory, accelerators)
        if fitting > count:
            added = fitting - count
            events.append((end.early, QUANTILE_SHARES[0] * added))
            events.append((end.median, QUANTILE_SHARES[1] * added))
            events.append((end.late, QUANTILE_SHARES[2] * added))
            count = fitting
    return events


def _count(needed, cpu, memory, accelerators):
    """Return how many tasks fit, as `executors.count_fitting` does.

    That function takes several times as long, and this one is called for
    each run of an executor.
    """
    count = cpu // needed.cpu if needed.cpu else MAX_SLOTS
    if needed.memory:
        count = min(count, memory // needed.memory)
    if needed.accelerators:
        count = min(count, accelerators // needed.accelerators)
    return max(0, count)


def _median(end):
    return end.median


class CapacityProfile:
    """Capacity events of many executors for tasks of one size.

    Executors are replaced one by one, so that a change costs little.
    """

    def __init__(self):
        self._slots: dict[int, float] = {}
        """Slots that become free in each step of the clock."""
        self._events: dict[str, list[tuple[int, float]]] = {}
        """What each executor adds to them."""

    def replace(
        self, name: str, events: Iterable[tuple[float, float]]
    ) -> None:
        """Replace the events of an executor; without any it has none."""
        slots = self._slots
        for step, count in self._events.pop(name, ()):
            left = slots.pop(step, 0.0) - count
            if left > MIN_SLOTS:
                slots[step] = left
        if not events:
            return
        own = [(int(at / STEP), count) for at, count in events]
        self._events[name] = own
        for step, count in own:
            slots[step] = slots.get(step, 0.0) + count

    def total(self) -> float:
        """Return the number of slots, whether they are free or not."""
        return sum(self._slots.values())

    def upcoming(self, now: float) -> list[float]:
        """Return the slots that become free in each of the next steps.

        Those that are due count as free now, and those beyond the horizon
        are left out.
        """
        first = int(now / STEP)
        calendar = [0.0] * HORIZON_STEPS
        for step, count in self._slots.items():
            if step < first + HORIZON_STEPS:
                calendar[max(step - first, 0)] += count
        return calendar


def expected_waits(
    calendar: Sequence[float], works: Iterable[Work]
) -> list[float]:
    """Return after how many seconds the last task of each item starts.

    Parameters
    ----------
    calendar : sequence of float
        Slots that become free in each step, without any of the work.
    works : iterable of Work
        Tasks in the order in which they start.

    Returns
    -------
    list of float
        Infinite for those that start beyond the horizon.  Of work that would
        start after its limit it is a time after that.
    """
    slots = list(calendar)
    horizon = len(slots)
    step = 0
    waits = []
    for work in works:
        left = float(work.tasks)
        duration = horizon
        if work.run_time < horizon * STEP:
            duration = max(1, round(work.run_time / STEP))
        start = math.inf
        first = step
        taken_slots = []
        while step < horizon:
            if start is math.inf and step * STEP > work.limit:
                _return_slots(slots, first, taken_slots, duration)
                start = step * STEP
                step = first
                break
            taken = min(left, slots[step])
            taken_slots.append(taken)
            slots[step] -= taken
            left -= taken
            if step + duration < horizon:
                slots[step + duration] += taken
            if left <= MEDIAN_SHARE and start is math.inf:
                start = step * STEP
            if left <= MIN_SLOTS:
                break
            step += 1
        waits.append(start)
    return waits


def _return_slots(slots, first, taken_slots, duration):
    """Undo what work took from a step on, as it does not start."""
    for step, taken in enumerate(taken_slots, first):
        slots[step] += taken
        if step + duration < len(slots):
            slots[step + duration] -= taken


def is_late(urgency: batch_order.Urgency, start: float) -> bool:
    """Return whether a batch misses its objective if it starts at a time.

    While all executors are busy, such a batch takes the place of one that
    can still be in time, which is worth five times as much.  A batch with
    started tasks is not late, as it may not be said not to have run.

    Parameters
    ----------
    start : float
        When its last task is expected to start, in seconds.
    """
    return not urgency.is_started and start > latest_start(urgency)


def latest_start(urgency: batch_order.Urgency) -> float:
    """Return until when a batch has to start to be in time, in seconds."""
    return min(urgency.latest_start, urgency.deadline - urgency.run_time)


class Bias:
    """Lasting ratio of actual waits to those that were forecast."""

    def __init__(self):
        self._log_ratio = 0.0

    @property
    def factor(self) -> float:
        """Return the factor by which a forecast wait has to be multiplied."""
        return math.exp(self._log_ratio)

    def observe(self, forecast: float, actual: float) -> None:
        """Compare a wait with its forecast.

        Parameters
        ----------
        forecast : float
            Seconds that were forecast, without the correction; an infinite
            one is not compared.
        actual : float
            Seconds that it took.
        """
        if math.isinf(forecast) or max(forecast, actual) < MIN_COMPARED_WAIT:
            return
        ratio = math.log(
            max(actual, MIN_COMPARED_WAIT) / max(forecast, MIN_COMPARED_WAIT)
        )
        deviation = ratio - self._log_ratio
        deviation = max(-MAX_BIAS_STEP, min(MAX_BIAS_STEP, deviation))
        self._log_ratio += BIAS_GAIN * deviation
        self._log_ratio = max(-MAX_BIAS, min(MAX_BIAS, self._log_ratio))


class Returns:
    """When refused callers return, one after the other.

    Each is told a time by which the capacity that is forecast can also have
    done the work of those refused before it.
    """

    def __init__(self):
        self._booked_until: dict[int, float] = {}
        """Until when returning work takes the executors, by priority."""

    def book(
        self, priority: int, earliest: float, latest: float, work: float
    ) -> float:
        """Return when a refused caller returns, and book its work.

        Parameters
        ----------
        priority : int
            Its priority; it returns behind all of this one or before it.
        earliest, latest : float
            Bounds of the time in seconds.
        work : float
            Seconds that all executors take for it.
        """
        booked = max(
            (
                until
                for other, until in self._booked_until.items()
                if other <= priority
            ),
            default=earliest,
        )
        at = min(max(earliest, booked), latest)
        self._booked_until[priority] = at + work
        return at
