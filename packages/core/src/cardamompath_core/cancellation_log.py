"""Cancellations in a log that outlasts all instances.

Addresses the load of requests that arrive again after every instance was
lost at once: their jobs were cancelled, and no process remembers that.
"""

from __future__ import annotations

import collections
import math
import struct
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from cardamompath_core import cancellations
from cardamompath_core import planner_election

__all__ = [
    "ANSWER_TIMEOUT",
    "AppendQueue",
    "COMMIT_INTERVAL",
    "FORMAT_VERSION",
    "LogReading",
    "LogRecord",
    "MAX_RECORD_BYTES",
    "READ_TIMEOUT",
    "RETRY_DELAY",
    "choose",
    "decode",
    "encode",
    "hold_end",
    "is_reporter",
]

FORMAT_VERSION = 1
"""Version of the format of a record; records of another one are skipped."""
HEADER = struct.Struct("!BIQQ")
"""Version, age in milliseconds, writer, time of the append in milliseconds of
the writer's clock.  The name follows."""
MAX_NAME_BYTES = 255
"""Largest size of a name; the names of the present callers have 16 bytes."""
MAX_RECORD_BYTES = HEADER.size + MAX_NAME_BYTES
"""Largest size of a record."""
COMMIT_INTERVAL = 0.05
"""Least seconds between the begins of two appends.  A wave of cancellations
costs an instance at most 20 appends per second."""
RETRY_DELAY = 0.3
"""Seconds from a call without an answer to the next try.  With the 0.6 s
after which a call to a silent store fails, the second try of an append is
still within `ANSWER_TIMEOUT`."""
ANSWER_TIMEOUT = 1.0
"""Seconds for which the caller of a cancellation waits for its append.  The
cancellation is in force in all instances meanwhile."""
READ_TIMEOUT = 1.0
"""Seconds after the first view of the fleet for which the first batches wait
for the records.  Other instances report what they know within that time."""
MAX_APPEND_DELAY = 30.0
"""Longest time in seconds after which an append without an answer is assumed
to take effect; the time after which its cancellations are forgotten."""
REPORTERS_PER_DOMAIN = 2
"""Number of instances of each failure domain that report what they have read
at their start; the second one serves if the first one could not read."""


class LogRecord(NamedTuple):
    """A cancellation as an instance appends it."""

    name: str
    age: float
    """Seconds from the cancellation to the append."""
    writer: int
    """Random number of the process that appends it."""
    written_at: float
    """When it was appended, in seconds of the writer's clock, which does not
    jump."""


class LogReading(NamedTuple):
    """What counts among the records that were read."""

    names: tuple[str, ...]
    """The oldest record first."""
    ages: tuple[float, ...]
    """Seconds since each was cancelled, as known from the records."""
    expired: int
    """Number of records that are too old to count."""
    unreadable: int
    """Number of records that could not be decoded."""
    reason: str
    """Why the last one of these could not be; empty if there is none."""


def encode(record: LogRecord) -> bytes:
    """Return the bytes of a record.

    Raises
    ------
    ValueError
        If the name is empty or too long, or a number is out of range.
    """
    raw_name = record.name.encode()
    if not 0 < len(raw_name) <= MAX_NAME_BYTES:
        raise ValueError(f"name {record.name!r} is empty or too long")
    try:
        header = HEADER.pack(
            FORMAT_VERSION,
            round(record.age * 1000.0),
            record.writer,
            round(record.written_at * 1000.0),
        )
    except struct.error as exc:
        raise ValueError(f"{record!r}: {exc}") from exc
    return header + raw_name


def decode(raw: bytes) -> LogRecord:
    """Return the record that some bytes stand for.

    Raises
    ------
    ValueError
        If they are no record of this version of the format.
    """
    if len(raw) > MAX_RECORD_BYTES:
        raise ValueError(f"record of {len(raw)} bytes is too long")
    if raw[:1] != bytes([FORMAT_VERSION]):
        raise ValueError(f"version {raw[:1]!r} is not {FORMAT_VERSION}")
    if len(raw) <= HEADER.size:
        raise ValueError(f"record {raw!r} is truncated")
    _, age_ms, writer, written_ms = HEADER.unpack_from(raw)
    name = raw[HEADER.size :].decode()
    return LogRecord(name, age_ms / 1000.0, writer, written_ms / 1000.0)


def choose(raw_records: Sequence[bytes]) -> LogReading:
    """Return which of the records of a log count.

    A record counts from its reading, with the age that it had when it was
    appended.  More is known only from the order of the log: of two records of
    one writer, the earlier one and all that precede it are older by the time
    between the two on the writer's clock, less `MAX_APPEND_DELAY`.  No clock
    is compared with that of another process, so that one that jumps shortens
    nothing.

    Parameters
    ----------
    raw_records : sequence of bytes
        The records, in the order of the log.
    """
    found: dict[str, float] = {}
    written_last: dict[int, float] = {}
    time_since = 0.0
    expired = unreadable = 0
    reason = ""
    for raw in reversed(raw_records):
        try:
            record = decode(raw)
        except ValueError as exc:
            unreadable += 1
            reason = reason or str(exc)
            continue
        last = written_last.setdefault(record.writer, record.written_at)
        elapsed = last - record.written_at - MAX_APPEND_DELAY
        time_since = max(time_since, elapsed)
        age = time_since + record.age
        if age > cancellations.MEMORY_TIME:
            expired += 1
        else:
            found[record.name] = min(age, found.get(record.name, age))
    names = tuple(found)[: cancellations.MAX_CANCELLATIONS][::-1]
    ages = tuple(found[name] for name in names)
    return LogReading(names, ages, expired, unreadable, reason)


class AppendQueue:
    """Cancellations that wait for their append, and when that is due.

    Parameters
    ----------
    writer : int
        Random number of this process, below 2 to the power of 64.
    """

    def __init__(self, writer: int):
        self._writer = writer
        self._waiting: dict[str, float] = {}
        """When each was cancelled, by its name."""
        self._due_at = -math.inf

    def add(self, name: str, cancelled_at: float) -> None:
        """Add a cancellation; the last time of a name counts.

        Raises
        ------
        ValueError
            If the name does not fit into a record.
        """
        encode(LogRecord(name, 0.0, self._writer, 0.0))
        self._waiting.pop(name, None)
        self._waiting[name] = cancelled_at

    def time_left(self, now: float) -> float | None:
        """Return the seconds until the next append; None if none waits."""
        return max(0.0, self._due_at - now) if self._waiting else None

    def drop_expired(self, now: float) -> tuple[str, ...]:
        """Remove those that nobody would remember; return their names."""
        excess = len(self._waiting) - cancellations.MAX_CANCELLATIONS
        dropped = tuple(
            name
            for index, (name, at) in enumerate(self._waiting.items())
            if index < excess or now > at + cancellations.MEMORY_TIME
        )
        for name in dropped:
            del self._waiting[name]
        return dropped

    def take(self, now: float) -> list[LogRecord]:
        """Return a record for each that waits, for an append at `now`."""
        self._due_at = now + COMMIT_INTERVAL
        return [
            LogRecord(name, max(0.0, now - at), self._writer, now)
            for name, at in self._waiting.items()
        ]

    def confirm(self, names: Iterable[str]) -> None:
        """Remove those that the store has confirmed."""
        for name in names:
            self._waiting.pop(name, None)

    def retry(self, now: float) -> None:
        """Keep those of an append without an answer for the next one.

        It may have taken effect; a second record of a cancellation does no
        harm.
        """
        self._due_at = now + RETRY_DELAY


def hold_end(are_known: bool, viewed_since: float | None) -> float:
    """Return until when the batches of an instance are not handed over.

    Parameters
    ----------
    are_known : bool
        Whether the cancellations of before its start are known.
    viewed_since : float or None
        When the first view of the fleet was published.
    """
    if are_known:
        return -math.inf
    return math.inf if viewed_since is None else viewed_since + READ_TIMEOUT


def is_reporter(name: str, members: Iterable[planner_election.Member]) -> bool:
    """Return whether an instance reports what it has read to the others.

    These are the instances of each failure domain that run the shortest.
    Planners report as well, and are among those that run the longest, so that
    a store that rejects one group does not silence both.

    Parameters
    ----------
    name : str
        Name of the instance.
    members : iterable of Member
        The members that are alive.
    """
    by_domain = collections.defaultdict(list)
    for member in members:
        by_domain[member.domain].append((member.started, member.name))
    return any(
        name == reporter
        for ranked in by_domain.values()
        for _, reporter in sorted(ranked)[-REPORTERS_PER_DOMAIN:]
    )
