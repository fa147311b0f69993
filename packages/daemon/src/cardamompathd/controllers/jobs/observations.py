"""Counts of submissions and of traffic with peers, for the telemetry.

Metrics show the totals since the start, the burn report the counts by
time.  These are kept in buckets of a minute, which are merged into
buckets of an hour after some hours.  The number of series in a bucket is
bounded; the submissions of all further services and teams share one
series.
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
"""In seconds."""

MIN_BOUND = 0.001
"""Lowest upper bound of the histograms: seconds, or a slowdown."""

BOUNDS_PER_DOUBLING = 2
"""Number of consecutive bounds over which the bound doubles."""
BOUND_COUNT = 44
"""Number of upper bounds; the highest is over 40 minutes."""

SHORT_WORK_LIMIT = 1.0
"""A submission is short if the estimated run time of its longest task is
below this, in seconds."""

OTHER = "other"
"""Service and team of the series that is shared beyond the limit."""


_MAPPING_KEYS = ("codes", "seconds", "short", "long")
"""Fields of a series that hold counts by name."""


class BurnLimits(NamedTuple):
    """Limits on the kept counts."""

    max_minutes: int = 360
    """Number of buckets of a minute."""
    max_hours: int = 72
    """Number of buckets of an hour."""
    max_series: int = 128
    """Number of series in a bucket, including the shared one."""


DEFAULT_LIMITS = BurnLimits()


class BurnSeries(TypedDict):
    """Counts of one service and team in one bucket."""

    service: str
    team: str
    complete: int
    late: int
    """Complete after the deadline."""
    refused: int
    failed: int
    codes: dict[str, int]
    """Refusals and failures by code."""
    seconds: dict[str, int]
    """Answers that are no refusals, by upper bound of the response time in
    seconds."""
    short: dict[str, int]
    """Complete short submissions by upper bound of the slowdown, which is the
    response time divided by the estimated run time."""
    long: dict[str, int]
    """Complete long submissions by upper bound of the slowdown."""
    tasks: int
    """Tasks that ran or may have run."""
    wasted: int
    """Attempts that were sent but did not run their task."""


class BurnBucket(TypedDict):
    """The series of one time span."""

    begin: float
    """Seconds on the instance's clock."""
    span: float
    """Seconds."""
    series: list[BurnSeries]


class ObservationsState:
    """Totals since the start, and counts by time."""

    def __init__(self, limits: BurnLimits):
        self.limits = limits
        self.outcomes: collections.Counter = collections.Counter()
        """Submissions by outcome and code."""
        self.task_states: collections.Counter = collections.Counter()
        self.peer_traffic: collections.Counter = collections.Counter()
        self.minutes: collections.OrderedDict = collections.OrderedDict()
        """Series by service and team in each minute, oldest first."""
        self.hours: collections.OrderedDict = collections.OrderedDict()
        """Series by service and team in each hour, oldest first."""


def make_controller(
    domain: str, limits: BurnLimits = DEFAULT_LIMITS
) -> messages.Controller:
    """Make the controller that counts the submissions of an instance.

    Parameters
    ----------
    domain : str
        Failure domain of the instance.
    limits : BurnLimits
        Limits on the kept counts.
    """
    state = ObservationsState(limits)

    def receive(msg: Any, now: float) -> Sequence[messages.Send]:
        if isinstance(msg, messages.SubmissionEnded):
            _count_submission(state, msg, now)
            return []
        if isinstance(msg, messages.PeerCallEnded):
            _count_peer_call(state, msg)
            return []
        if isinstance(msg, messages.GetBurnCounts):
            answer = _make_burn_counts(state, domain, now)
        else:
            answer = _make_status(state)
        reply = messages.Reply(msg.reply_to, answer)
        return [messages.Send(messages.CALLERS, reply)]

    return messages.Controller(messages.TELEMETRY, receive)


def _count_submission(state, msg, now):
    state.outcomes[msg.outcome, msg.code] += 1
    for task_state, count in msg.task_counts.items():
        state.task_states[task_state] += count
    minute = now // MINUTE
    if minute not in state.minutes:
        state.minutes[minute] = {}
        _merge_old_minutes(state)
    bucket = state.minutes[minute]
    _add(_find_series(state, bucket, msg.service, msg.team), msg)


def _count_peer_call(state, msg):
    state.peer_traffic["calls"] += 1
    state.peer_traffic["sent"] += msg.sent_bytes
    state.peer_traffic["received"] += msg.received_bytes


def _find_series(state, bucket, service, team):
    key = (service, team)
    if key not in bucket and len(bucket) >= state.limits.max_series - 1:
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
        _increment(series["seconds"], _upper_bound(msg.response_time))
    if msg.outcome == "complete" and msg.ideal_time > 0:
        length = "short" if msg.ideal_time < SHORT_WORK_LIMIT else "long"
        _increment(
            series[length], _upper_bound(msg.response_time / msg.ideal_time)
        )
    series["tasks"] += sum(msg.task_counts.values())
    series["tasks"] -= msg.task_counts.get("not_started", 0)
    series["wasted"] += msg.wasted_attempts


def _increment(counts, bound):
    counts[bound] = counts.get(bound, 0) + 1


def _upper_bound(value):
    """Return the histogram bound of a time or a slowdown, as text."""
    ratio = max(value, MIN_BOUND) / MIN_BOUND
    steps = math.ceil(math.log2(ratio) * BOUNDS_PER_DOUBLING)
    steps = min(steps, BOUND_COUNT - 1)
    return f"{MIN_BOUND * 2 ** (steps / BOUNDS_PER_DOUBLING):.6g}"


def _merge_old_minutes(state):
    """Merge the minutes beyond the limit into hours; drop old hours."""
    while len(state.minutes) > state.limits.max_minutes:
        minute, bucket = state.minutes.popitem(last=False)
        hour = state.hours.setdefault(minute * MINUTE // HOUR, {})
        for (service, team), series in bucket.items():
            _merge(_find_series(state, hour, service, team), series)
    while len(state.hours) > state.limits.max_hours:
        state.hours.popitem(last=False)


def _merge(target, series):
    for key in ("complete", "late", "refused", "failed", "tasks", "wasted"):
        target[key] += series[key]
    for key in _MAPPING_KEYS:
        for name, count in series[key].items():
            target[key][name] = target[key].get(name, 0) + count


def _make_burn_counts(state, domain, now):
    buckets = [
        _make_bucket(hour * HOUR, HOUR, bucket)
        for hour, bucket in state.hours.items()
    ]
    buckets += [
        _make_bucket(minute * MINUTE, MINUTE, bucket)
        for minute, bucket in state.minutes.items()
    ]
    return {"domain": domain, "now": now, "buckets": buckets}


def _make_bucket(begin, span, bucket) -> BurnBucket:
    copies = [_copy_series(series) for series in bucket.values()]
    return {"begin": begin, "span": span, "series": copies}


def _copy_series(series):
    return series | {key: dict(series[key]) for key in _MAPPING_KEYS}


def _make_status(state):
    outcomes = [
        {"outcome": outcome, "code": code, "count": count}
        for (outcome, code), count in sorted(state.outcomes.items())
    ]
    traffic_keys = ("calls", "sent", "received")
    return {
        "submissions": {
            "outcomes": outcomes,
            "tasks": dict(state.task_states),
        },
        "peers": {key: state.peer_traffic[key] for key in traffic_keys},
    }
