"""Choice of executors that differ in speed, and of room to keep.

Answers loads in which executors differ in speed and tasks in size, and in
which short batches that any executor runs in time take the fast ones, while
batches that need these wait or are late.  Large tasks wait long there, as
each gap is taken by a smaller task before two gaps on one executor meet.

Whether a batch is in time depends on its run time, of which only the usual
one of its kind is known.  A chance is therefore computed from the spread.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import executors
from cardamompath_core import run_ends

__all__ = [
    "FastDemand",
    "Need",
    "Reservation",
    "Room",
    "RunLeft",
    "Target",
    "chance_in_time",
    "choose_reservation",
    "ends_before",
    "find_room",
    "max_reservations",
    "score",
]

DEMAND_TIME = 0.5
"""Seconds over which arriving work is averaged, as in `batch_order`."""
SCARCE_SHARE = 0.4
"""Share of the fast executors that is needed from which they are scarce:
arrivals vary by as much again within `DEMAND_TIME`."""
MAX_PRICE = 0.1
"""Chance to be in time that a task gives up at most so that others find a
fast executor.  With more, batches that need one leave it to each other."""
MIN_WAIT_GAIN = 0.2
"""Chance to be in time that a task has to gain by waiting for a busy executor.
With 0.1 the errors of the forecasts cost short batches a tenth."""
MAX_WAIT = 0.15
"""Seconds for which a task waits for a busy executor at most; half of the
slack and the stretch of a usual batch.  Longer forecasts are mostly wrong."""
MAX_BOOKED = 16
"""Maximum number of executors for which tasks wait at a time; those behind
take what is free."""
MAX_REMEMBERED = 1024
"""Maximum number of batches of which waits and reservations are remembered,
twice as many as wait at a planner."""
LARGE_FACTOR = 1.2
"""Multiple of the mean size of the waiting tasks from which a task is large;
sizes spread by 0.2, so that it is about one in six."""
EXECUTORS_PER_RESERVATION = 40
"""A planner may have one reservation for as many executors, and at least one.
More gave the largest tasks little and took worth from the others."""


class Target(NamedTuple):
    """The time objective of a batch, in seconds."""

    waited: float
    """Time since its submission."""
    best_time: float
    """Usual run time of its tasks where they are fastest."""
    stretch: float
    """Objective as a multiple of the true run time where it is fastest."""
    slack: float
    """Seconds on top of that multiple."""

    @property
    def objective(self) -> float:
        """Return the time within which the answer is wanted."""
        return self.stretch * self.best_time + self.slack


def chance_in_time(target: Target, wait: float, run_time: float) -> float:
    """Return the chance that a task ends within the objective.

    Its true run time is the usual one times a factor, which spreads by
    `run_ends.BATCH_SPREAD` and holds on all executors alike.

    Parameters
    ----------
    target : Target
        Objective of its batch.
    wait : float
        Seconds until it starts.
    run_time : float
        Usual seconds on the executor.
    """
    spare = target.slack - target.waited - wait
    excess = run_time - target.stretch * target.best_time
    if spare >= 0.0 and excess <= 0.0:
        return 1.0
    if spare <= 0.0 and excess >= 0.0:
        return 0.0
    # In time if the factor is below this limit, or above it where the
    # objective grows faster with the factor than the run time does.
    limit = math.log(spare / excess) / run_ends.BATCH_SPREAD
    below = 0.5 * math.erfc(-limit / math.sqrt(2.0))
    return below if excess > 0.0 else 1.0 - below


class FastDemand:
    """Share of the faster executors that arriving work needs, by model.

    A batch needs them to the extent that its chance to be in time falls on
    the next slower model.
    """

    def __init__(self):
        self._averages: dict[tuple[str, str], tuple[float, float]] = {}
        """Average by service and model, and when it was computed."""

    def add(self, service: str, model: str, work: float, now: float) -> None:
        """Add work that needs a model.

        Parameters
        ----------
        service, model : str
            The service, and the slowest of the models that are fast enough.
        work : float
            Seconds that all executors at least as fast need for the tasks
            that would be late on slower ones.
        now : float
            Present time in seconds.
        """
        average = self._share(service, model, now) + work / DEMAND_TIME
        self._averages[service, model] = (average, now)

    def price(self, service: str, model: str, now: float) -> float:
        """Return the chance that a task may lose to leave an executor."""
        share = self._share(service, model, now) / SCARCE_SHARE
        return MAX_PRICE * min(1.0, share)

    def _share(self, service, model, now):
        average, computed_at = self._averages.get((service, model), (0.0, now))
        return average * math.exp((computed_at - now) / DEMAND_TIME)


def score(
    chance: float, price: float, run_time: float, cpu_left: int
) -> tuple[float, float, int]:
    """Return the score of an executor for a task; the lowest is the best.

    Parameters
    ----------
    chance : float
        Chance that the task is in time there.
    price : float
        Chance that other work loses if the executor is taken.
    run_time : float
        Usual seconds of the task there.
    cpu_left : int
        CPU left over there, in thousandths of a core.
    """
    return (round(1.0 - chance + price, 2), run_time, cpu_left)


class RunLeft(NamedTuple):
    """A run that is going on."""

    resources: executors.Resources
    ends_in: float
    """Expected seconds until it ends."""


class Room(NamedTuple):
    """When an executor is expected to have room for a task."""

    wait: float
    """Seconds until then."""
    free: executors.Resources
    """Resources that are free then."""


def find_room(
    needed: executors.Resources,
    free: executors.Resources,
    runs: Iterable[RunLeft],
) -> Room | None:
    """Return when a task is expected to fit on an executor.

    The result is None if it does not fit when all runs have ended.
    """
    wait = 0.0
    for run in sorted(runs, key=lambda run: run.ends_in):
        if executors.fits(needed, free):
            break
        free = executors.add(free, run.resources)
        wait = run.ends_in
    return Room(wait, free) if executors.fits(needed, free) else None


def ends_before(run_time: float, wait: float) -> bool:
    """Return whether a new run ends within a time, as nine of ten do.

    Parameters
    ----------
    run_time, wait : float
        Usual seconds of the run, and the seconds until it has to end.
    """
    return run_ends.remaining(0.0, run_time).bound <= wait


class Need(NamedTuple):
    """A waiting task for which room may be kept."""

    batch: str
    resources: executors.Resources
    target: Target
    limit: float
    """Seconds for which room is kept at most."""
    priority: int = 0
    """Priority of its route; lower ones come first."""


class Reservation(NamedTuple):
    """Room on an executor that is kept for a batch.  Times in seconds."""

    batch: str
    executor: str
    priority: int
    """Priority of the batch; work of lower numbers is not held up."""
    resources: executors.Resources
    made_at: float
    expected_at: float
    """When the room is expected to be there."""
    expires_at: float
    gain: float
    """Core-seconds that the batch is expected to gain."""
    cost: float
    """Core-seconds that stay unused meanwhile."""


def max_reservations(executor_count: int) -> int:
    """Return how many reservations a planner may have."""
    return max(1, executor_count // EXECUTORS_PER_RESERVATION)


def choose_reservation(
    need: Need,
    rooms: Sequence[tuple[str, float, executors.Resources, Room]],
    now: float,
) -> Reservation | None:
    """Return the reservation of room that is worth most to a task.

    It is worth keeping only if the work that is then in time exceeds what
    the batches behind could have done with the free resources until then.

    Parameters
    ----------
    need : Need
        The waiting task.
    rooms : sequence of tuple
        For each executor its name, the usual seconds of the task there, its
        free resources, and when it is expected to have room.
    now : float
        Present time in seconds.
    """
    best = None
    best_value = 0.0
    for name, run_time, free, room in rooms:
        if room.wait > need.limit:
            continue
        chance = chance_in_time(need.target, room.wait, run_time)
        cpu = need.resources.cpu / 1000.0
        gain = chance * cpu * need.target.best_time
        cost = max(0, free.cpu) / 1000.0 * room.wait
        if gain - cost > best_value:
            best_value = gain - cost
            best = Reservation(
                need.batch,
                name,
                need.priority,
                need.resources,
                now,
                now + room.wait,
                now + need.limit,
                gain,
                cost,
            )
    return best
