"""Counts of ended submissions and of the bytes exchanged with peers.

For metrics and the burn report.

Minutes are kept for some hours and then folded into hours.  The number
of series in each bucket is bounded; what is beyond goes into one series.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from cardamompathd import messages

__all__ = [
    "BurnBucket",
    "BurnLimits",
    "BurnSeries",
    "ObservationsState",
    "make_controller",
]

MINUTE = 60.0
HOUR = 3600.0

FIRST_BOUND = 0.001
"""Upper bound of the first class of response times, in seconds."""

BOUNDS_PER_DOUBLING = 2
CLASSES = 44
"""Classes of response times; the last bound is over 40 minutes."""

SHORT_WORK = 1.0
"""Submissions whose longest task is ideally below are short, seconds."""

OTHER = "other"
"""Name of service and team in the series beyond the bound."""


_COUNTERS = ("codes", "seconds", "short", "long")
"""Fields of a series that count by name."""


class BurnLimits(NamedTuple):
    """Bounds of what is kept."""

    minutes: int = 360
    hours: int = 72
    series: int = 128
    """Pairs of service and team in one bucket."""


DEFAULT_LIMITS = BurnLimits()


class BurnSeries(TypedDict):
    """Counts of one service and team in one bucket."""

    service: str
    team: str
    complete: int
    late: int
    """Complete, but after the deadline."""
    refused: int
    failed: int
    codes: dict[str, int]
    """Refusals and failures by code."""
    seconds: dict[str, int]
    """Answers by upper bound of the response time, in seconds."""
    short: dict[str, int]
    """Complete short work by upper bound of its slowdown."""
    long: dict[str, int]
    """Complete long work by upper bound of its slowdown."""
    tasks: int
    """Tasks that ran, or may have."""
    wasted: int
    """Exchanges that were sent but did not run their task."""


class BurnBucket(TypedDict):
    """The series of one span of time."""

    begin: float
    """Seconds on the clock of the instance."""
    span: float
    series: list[BurnSeries]


class ObservationsState:
    """Totals since the start and counts by time."""

    def __init__(self, limits: BurnLimits):
        self.limits = limits
        self.outcomes: collections.Counter = collections.Counter()
        self.tasks: collections.Counter = collections.Counter()
        self.peers: collections.Counter = collections.Counter()
        self.minutes: collections.OrderedDict = collections.OrderedDict()
        self.hours: collections.OrderedDict = collections.OrderedDict()


def make_controller(
    domain: str, limits: BurnLimits = DEFAULT_LIMITS
) -> messages.Controller:
    """Make the controller that counts the submissions of an instance.

    Parameters
    ----------
    domain : str
        Failure domain of the instance.
    limits : BurnLimits
        Bounds of what is kept.
    """
    state = ObservationsState(limits)

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        if isinstance(msg, messages.SubmissionEnded):
            _count(state, msg, now)
            return []
        if isinstance(msg, messages.PeerCallEnded):
            _count_bytes(state, msg)
            return []
        if isinstance(msg, messages.GetBurnCounts):
            answer = _burn(state, domain, now)
        else:
            answer = _status(state)
        reply = messages.Reply(msg.reply_to, answer)
        return [messages.Send(messages.CALLERS, reply)]

    return messages.Controller(messages.TELEMETRY, receive)


def _count(state, msg, now):
    state.outcomes[msg.outcome, msg.code] += 1
    for verdict, count in msg.task_counts.items():
        state.tasks[verdict] += count
    minute = now // MINUTE
    if minute not in state.minutes:
        state.minutes[minute] = {}
        _fold(state)
    bucket = state.minutes[minute]
    _add(_series(state, bucket, msg.service, msg.team), msg)


def _count_bytes(state, msg):
    state.peers["calls"] += 1
    state.peers["sent"] += msg.sent_bytes
    state.peers["received"] += msg.received_bytes


def _series(state, bucket, service, team):
    key = (service, team)
    if key not in bucket and len(bucket) >= state.limits.series - 1:
        key = (OTHER, OTHER)
    if key not in bucket:
        bucket[key] = _make_series(*key)
    return bucket[key]


def _make_series(service, team) -> BurnSeries:
    return {
        "service": service,
        "team": team,
        "complete": 0,
        "late": 0,
        "refused": 0,
        "failed": 0,
        "codes": {},
        "seconds": {},
        "short": {},
        "long": {},
        "tasks": 0,
        "wasted": 0,
    }


def _add(series, msg):
    late = msg.outcome == "complete" and not msg.in_time
    series["late" if late else msg.outcome] += 1
    if msg.code:
        codes = series["codes"]
        codes[msg.code] = codes.get(msg.code, 0) + 1
    if msg.outcome != "refused":
        _raise(series["seconds"], _bound(msg.response_time))
    if msg.outcome == "complete" and msg.ideal_time > 0:
        length = "short" if msg.ideal_time < SHORT_WORK else "long"
        _raise(series[length], _bound(msg.response_time / msg.ideal_time))
    series["tasks"] += sum(msg.task_counts.values())
    series["tasks"] -= msg.task_counts.get("not_started", 0)
    series["wasted"] += msg.wasted_attempts


def _raise(counts, bound):
    counts[bound] = counts.get(bound, 0) + 1


def _bound(value):
    """Return the upper bound of the class of a time or a slowdown."""
    ratio = max(value, FIRST_BOUND) / FIRST_BOUND
    steps = math.ceil(math.log2(ratio) * BOUNDS_PER_DOUBLING)
    steps = min(steps, CLASSES - 1)
    return f"{FIRST_BOUND * 2 ** (steps / BOUNDS_PER_DOUBLING):.6g}"


def _fold(state):
    """Move the minutes that are too old into their hours."""
    while len(state.minutes) > state.limits.minutes:
        minute, bucket = state.minutes.popitem(last=False)
        hour = state.hours.setdefault(minute * MINUTE // HOUR, {})
        for (service, team), series in bucket.items():
            _merge(_series(state, hour, service, team), series)
    while len(state.hours) > state.limits.hours:
        state.hours.popitem(last=False)


def _merge(into, series):
    for key in ("complete", "late", "refused", "failed", "tasks", "wasted"):
        into[key] += series[key]
    for key in _COUNTERS:
        for name, count in series[key].items():
            into[key][name] = into[key].get(name, 0) + count


def _burn(state, domain, now):
    buckets = [
        _bucket(hour * HOUR, HOUR, bucket)
        for hour, bucket in state.hours.items()
    ]
    buckets += [
        _bucket(minute * MINUTE, MINUTE, bucket)
        for minute, bucket in state.minutes.items()
    ]
    return {"domain": domain, "now": now, "buckets": buckets}


def _bucket(begin, span, bucket) -> BurnBucket:
    series = [_copy(one) for one in bucket.values()]
    return {"begin": begin, "span": span, "series": series}


def _copy(series):
    return series | {key: dict(series[key]) for key in _COUNTERS}


def _status(state):
    outcomes = [
        {"outcome": outcome, "code": code, "count": count}
        for (outcome, code), count in sorted(state.outcomes.items())
    ]
    counted = ("calls", "sent", "received")
    return {
        "submissions": {"outcomes": outcomes, "tasks": dict(state.tasks)},
        "peers": {key: state.peers[key] for key in counted},
    }
