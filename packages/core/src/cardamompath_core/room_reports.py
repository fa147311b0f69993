"""Reports of planners on their free capacity, and what follows from them.

Addresses loads in which the planners of one failure domain are full while
executors elsewhere are free, and batches of different sizes and priorities
compete.  A planner reports how many tasks of each size it can start, and the
work that waits by priority.  A gateway chooses a planner by these reports,
less what it has sent since.

A report is a hint.  A planner that has less capacity than it reported rejects
the batch before any of its tasks has started, as it does without reports.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import Literal
from typing import NamedTuple

import xxhash

from cardamompath_core import batch_order

__all__ = [
    "HORIZON",
    "IN_TIME",
    "MAX_BYTES",
    "MAX_ENTRIES",
    "OWN_DOMAIN",
    "SHORTEST_WAIT",
    "STALE_TIME",
    "Candidate",
    "Choice",
    "HeardReport",
    "Need",
    "QueuedWork",
    "RecentSizes",
    "Report",
    "SendRates",
    "Sent",
    "SizeRoom",
    "assess",
    "can_serve",
    "choose",
    "class_of",
    "estimate_offset",
    "find_room",
    "has_capacity",
    "needed_room",
    "queued_before",
    "trim",
]

MAX_ENTRIES = 16
"""Maximum number of sizes and priorities in a report."""
MAX_PRIORITIES = 4
"""Maximum number of priorities in a report; the work of lower ones counts as
that of the last of these."""
MAX_BYTES = 256
"""Maximum size of an encoded report in bytes."""
STALE_TIME = 0.75
"""Seconds after which a report counts as none.  In that time all short tasks
of a full planner end, so that the report says nothing any more."""
HORIZON = 0.1
"""Seconds within which capacity is reported that is expected to become free;
about the time by which a short batch may start late."""
RECENT_TIME = 5.0
"""Seconds for which a size is reported after a batch with it; bursts last some
seconds."""
MAX_RECENT_SIZES = 64
"""Maximum number of sizes that are remembered; the least recent ones are
dropped first."""
CLASS_CORES = (1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128)
"""Upper bounds of the size classes in cores.  Neighbours differ by a factor of
two at most, so that a task counts as less than twice its size."""
MAX_REACH = 0.3
"""Seconds for which the rate at which capacity becomes free is extrapolated;
about the time for which a report says something of a planner."""
RATE_TIME = 0.25
"""Seconds over which the tasks that are sent to a planner are averaged; what
gateways send changes with each report, of which there are four a second."""
MAX_DRIFT = 1e-3
"""Seconds by which the clocks of two instances may diverge in a second; twice
the rate by which time services adjust a clock."""

OWN_DOMAIN = "capacity in the own domain"
IN_TIME = "capacity in time"
SHORTEST_WAIT = "shortest expected wait"
"""Reasons for the choice of a planner."""

Reason = Literal[
    "capacity in the own domain",
    "capacity in time",
    "shortest expected wait",
]


class SizeRoom(NamedTuple):
    """How many tasks of a size class a planner can start."""

    service: str
    cpu: int
    """Upper bound of the class, in thousandths of a core."""
    free: int
    """Number of tasks that fit now."""
    soon: int
    """Number of tasks that are expected to fit within `HORIZON`, those that
    fit now included."""


class QueuedWork(NamedTuple):
    """Work that waits at a planner."""

    priority: int
    seconds: float
    """Time that all its executors need for the tasks of that priority."""


class Report(NamedTuple):
    """What a planner can start, and what waits there."""

    made_at: float
    """In seconds of the planner's clock."""
    sizes: tuple[SizeRoom, ...] = ()
    queued: tuple[QueuedWork, ...] = ()
    """By ascending priority."""
    asked: int = 0
    """Number of the sizes, from the first on, that batches had which came to
    this planner itself; the others were requested elsewhere."""


class HeardReport(NamedTuple):
    """A report of another process, or of this one."""

    report: Report
    made_at: float
    """In seconds of the receiver's clock, or later by the shortest time that
    a message of that process has taken."""


class Need(NamedTuple):
    """What a batch needs to start."""

    service: str
    priority: int
    cpu: int
    """CPU of its largest task that can start at first, in thousandths of a
    core."""
    tasks: int
    """Number of tasks that can start at first."""


class Sent(NamedTuple):
    """What was sent to a planner that its report does not count."""

    booked: int = 0
    """CPU of the tasks that this gateway has sent, in thousandths of a
    core."""
    peer_rate: float = 0.0
    """CPU of the tasks that other gateways send in a second."""


class Candidate(NamedTuple):
    """A planner that a batch may be sent to."""

    name: str
    is_local: bool
    """Whether it plans for the failure domain of the batch's origin."""
    wait: float
    """Expected wait of the batch there, in seconds."""
    needed: int = 1
    """Number of tasks for which it needs capacity, so that the batch is in
    time."""
    room: float | None = None
    """Number of tasks of the batch's size that can start within `HORIZON`, or
    now if the batch cannot wait as long, less those that were sent since the
    report; None without a fresh report."""
    reach: float = 0.0
    """The same until the batch has to start."""
    taken: float = 0.0
    """Number of tasks that were deducted."""
    age: float | None = None
    """Seconds since the report was made; None without one."""


class Choice(NamedTuple):
    """A chosen planner, and why."""

    candidate: Candidate
    reason: Reason


class SendRates:
    """The CPU of the tasks that a gateway sends to each planner."""

    def __init__(self):
        self._rates: dict[Any, tuple[float, float]] = {}
        """Rate by key, and when it was computed."""

    def add(self, key: Any, cpu: int, now: float) -> None:
        """Count tasks that were sent, by their CPU in thousandths of a core.

        Parameters
        ----------
        key : hashable
            The planner and the service.
        """
        self._rates[key] = (self.rate(key, now) + cpu / RATE_TIME, now)

    def rate(self, key: Any, now: float) -> float:
        """Return the CPU of the tasks that are sent in a second."""
        rate, computed_at = self._rates.get(key, (0.0, now))
        return rate * math.exp((computed_at - now) / RATE_TIME)

    def forget_before(self, since: float) -> None:
        """Forget the planners to which nothing was sent since a time."""
        self._rates = {
            key: entry
            for key, entry in self._rates.items()
            if entry[1] > since
        }


class RecentSizes:
    """Sizes of the tasks of recent batches, by service and class."""

    def __init__(self):
        self._asked: dict[tuple[str, int], tuple[float, int, int]] = {}
        """Time of the last batch, and the largest memory and number of
        accelerators of a task."""
        self._elsewhere: dict[tuple[str, int], float] = {}

    def add(
        self,
        service: str,
        cpu: int,
        memory: int,
        accelerators: int,
        now: float,
    ) -> None:
        """Note a size that a batch has which came to this planner."""
        key = (service, class_of(cpu))
        _, most_memory, most_accelerators = self._asked.pop(key, (0.0, 0, 0))
        self._asked[key] = (
            now,
            max(memory, most_memory),
            max(accelerators, most_accelerators),
        )
        _drop_first(self._asked)

    def add_elsewhere(self, report: Report, now: float) -> None:
        """Note the sizes that batches had which came to another planner.

        Sizes that the other planner has only heard of do not count, so that
        no size is passed on for ever.
        """
        for size in report.sizes[: report.asked]:
            key = (size.service, size.cpu)
            self._elsewhere.pop(key, None)
            self._elsewhere[key] = now
        _drop_first(self._elsewhere)

    def find_recent(
        self, now: float
    ) -> tuple[list[tuple[str, int, int, int]], int]:
        """Return the recent sizes, and how many of them were asked for here.

        Returns
        -------
        tuple of list and int
            Service, class in thousandths of a core, memory and accelerators
            of each size; the most recent ones come first.
        """
        since = now - RECENT_TIME
        self._asked = {
            key: size for key, size in self._asked.items() if size[0] >= since
        }
        self._elsewhere = {
            key: at for key, at in self._elsewhere.items() if at >= since
        }
        asked = [
            (*key, memory, accelerators)
            for key, (_, memory, accelerators) in reversed(self._asked.items())
        ]
        others = [
            (*key, 0, 0)
            for key in reversed(self._elsewhere)
            if key not in self._asked
        ]
        return [*asked, *others], len(asked)


def _drop_first(sizes):
    while len(sizes) > MAX_RECENT_SIZES:
        del sizes[next(iter(sizes))]


def class_of(cpu: int) -> int:
    """Return the upper bound of the size class of a task.

    Parameters
    ----------
    cpu : int
        CPU of the task in thousandths of a core.

    Returns
    -------
    int
        In thousandths of a core; always whole cores.
    """
    for cores in CLASS_CORES:
        if cpu <= cores * 1000:
            return cores * 1000
    largest = CLASS_CORES[-1] * 1000
    return -(-cpu // largest) * largest


def trim(report: Report) -> Report:
    """Return a report with at most `MAX_ENTRIES` entries."""
    queued = report.queued
    if len(queued) > MAX_PRIORITIES:
        rest = sum(each.seconds for each in queued[MAX_PRIORITIES - 1 :])
        last = queued[MAX_PRIORITIES - 1]._replace(seconds=rest)
        queued = (*queued[: MAX_PRIORITIES - 1], last)
    sizes = report.sizes[: MAX_ENTRIES - len(queued)]
    return report._replace(
        sizes=sizes, queued=queued, asked=min(report.asked, len(sizes))
    )


def estimate_offset(
    previous: tuple[float, float] | None, sent_at: float, heard_at: float
) -> tuple[float, float]:
    """Return how far the clock here is ahead of that of another process.

    The smallest difference between the arrival and the departure of a message
    counts, so that a message that was late does not look recent.

    Parameters
    ----------
    previous : tuple of float, optional
        The previous result.
    sent_at : float
        When the other process sent a message, in seconds of its clock.
    heard_at : float
        When it arrived, in seconds of the clock here.

    Returns
    -------
    tuple of float
        The difference of the clocks in seconds, too large by the duration of
        the fastest message, and the time here at which it was estimated.
    """
    offset = heard_at - sent_at
    if previous is not None:
        known, estimated_at = previous
        offset = min(offset, known + MAX_DRIFT * (heard_at - estimated_at))
    return offset, heard_at


def find_room(report: Report, service: str, cpu: int) -> SizeRoom | None:
    """Return the entry for a task, None if the report has none.

    The next larger class counts if that of the task is missing.
    """
    fitting = [
        size
        for size in report.sizes
        if size.service == service and size.cpu >= cpu
    ]
    return min(fitting, key=lambda size: size.cpu, default=None)


def queued_before(report: Report, priority: int) -> float:
    """Return the seconds of queued work that a priority has to wait for."""
    return sum(
        each.seconds for each in report.queued if each.priority <= priority
    )


def needed_room(tasks: int, run_time: float, time_left: float) -> int:
    """Return for how many tasks a batch needs capacity to be in time.

    Parameters
    ----------
    tasks : int
        Number of its tasks.
    run_time : float
        Expected run time of one, in seconds; positive.
    time_left : float
        Seconds from the start until the answer is due.
    """
    waves = max(1, math.floor(time_left / run_time))
    return -(-tasks // waves)


def assess(
    candidate: Candidate,
    heard: HeardReport,
    need: Need,
    urgency: batch_order.Urgency,
    sent: Sent,
    distance: float,
    now: float,
) -> Candidate:
    """Return a candidate with what follows from its report.

    Parameters
    ----------
    candidate : Candidate
        The planner.
    heard : HeardReport
        Its last report, which is fresh.
    need, urgency : Need and Urgency
        Those of the batch.
    sent : Sent
        What was sent to the planner that its report does not count.
    distance : float
        Seconds until the batch is there.
    now : float
        Present time in seconds.
    """
    age = max(0.0, now - heard.made_at)
    queued = queued_before(heard.report, need.priority)
    size = find_room(heard.report, need.service, need.cpu)
    if size is None:
        # A size that was not asked for lately is not reported.  A batch stays
        # in its domain then, where its outcome is known if it comes again.
        is_idle = candidate.is_local and queued == 0.0
        count = need.tasks if is_idle else 0
        size = SizeRoom(need.service, class_of(need.cpu), count, count)
    gain = size.soon - size.free
    # What other gateways send takes what becomes free first.
    peer_gain = sent.peer_rate - gain * size.cpu / HORIZON
    taken = (sent.booked + max(0.0, peer_gain) * age) / class_of(need.cpu)
    spare = max(0.0, urgency.latest_start - now - distance)
    start = now + distance
    room = size.free
    if spare >= HORIZON:
        start += HORIZON
        room = size.soon
    reach = size.free + gain * min(spare, MAX_REACH) / HORIZON
    wait = distance + queued
    if taken > size.free:
        wait += (taken - size.free) * HORIZON / max(gain, 1)
    elif not size.soon:
        wait = max(wait, distance + HORIZON)
    due = urgency.submitted_at + urgency.objective
    return candidate._replace(
        wait=wait,
        needed=needed_room(need.tasks, urgency.run_time, due - start),
        room=max(0.0, room - taken),
        reach=max(0.0, reach - taken),
        taken=taken,
        age=age,
    )


def has_capacity(candidate: Candidate) -> bool:
    """Return whether a planner reports capacity for a batch in time."""
    return candidate.room is not None and candidate.reach >= candidate.needed


def can_serve(
    candidate: Candidate,
    urgency: batch_order.Urgency,
    distance: float,
    now: float,
) -> bool:
    """Return whether a planner is expected to accept a batch.

    The rule is that by which planners reject batches.

    Parameters
    ----------
    candidate : Candidate
        The planner, as `assess` returns it.
    urgency : Urgency
        That of the batch.
    distance : float
        Seconds until the batch is there.
    now : float
        Present time in seconds.
    """
    if candidate.room is None:
        return False
    if has_capacity(candidate):
        return not batch_order.is_too_late(urgency, now + distance, False)
    return not batch_order.is_too_late(urgency, now + candidate.wait, True)


def choose(
    candidates: Sequence[Candidate], batch: str, wait_step: float
) -> Choice | None:
    """Choose the planner for a batch.

    A planner of the own domain that can start it at once comes first, then any
    one with capacity in time.  Without any, those with the shortest expected
    wait count.

    Parameters
    ----------
    candidates : sequence of Candidate
        The planners in the order in which they are asked if all are equal.
    batch : str
        Name of the batch; the seed of the draw.
    wait_step : float
        Seconds up to which expected waits count as equal.

    Returns
    -------
    Choice or None
        None if there is no candidate.
    """
    local = [
        each
        for each in candidates
        if each.is_local and each.room is not None and each.room >= each.needed
    ]
    if local:
        return Choice(_draw(local, batch), OWN_DOMAIN)
    able = [each for each in candidates if has_capacity(each)]
    if able:
        return Choice(_draw(able, batch), IN_TIME)
    shortest = min((each.wait for each in candidates), default=None)
    if shortest is None:
        return None
    near = [each for each in candidates if each.wait <= shortest + wait_step]
    return Choice(_draw(near, batch), SHORTEST_WAIT)


def _draw(candidates: Iterable[Candidate], batch: str) -> Candidate:
    """Draw a planner with a probability in proportion to its capacity.

    The largest of weighted hashes wins.  Thus gateways that have the same
    reports send different batches to different planners, and the draw for a
    batch changes no more than its planners do.
    """

    def score(candidate):
        digest = xxhash.xxh64_intdigest(f"{candidate.name}/{batch}".encode())
        share = (digest + 0.5) / 2.0**64
        return math.log(share) / max(candidate.reach, 1.0)

    return max(candidates, key=score)
