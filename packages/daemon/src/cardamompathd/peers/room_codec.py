"""Codec of a planner's report of its capacity, as a part of a heartbeat.

The report is a Thrift struct within a binary field, so that a malformed one
does not invalidate the heartbeat that carries it.
"""

from __future__ import annotations

import functools
import itertools
import math
from typing import NamedTuple

from thrift import Thrift

from cardamompath_core import room_reports
from cardamompathd.peers import errors
from cardamompathd.peers import wire

__all__ = [
    "MALFORMED",
    "OVERSIZED",
    "decode",
    "encode",
]

MALFORMED = "malformed"
OVERSIZED = "oversized"
"""Why a report was dropped."""
MAX_COUNT = (1 << 31) - 1
"""Largest number of tasks or milliseconds that a report carries."""
SIZE_NUMBERS = 4
QUEUED_NUMBERS = 2
"""Numbers of a size and of a priority."""
MAX_CACHED = 4
"""Encoded reports that are kept; one is sent to many members."""


class RoomFields(NamedTuple):
    """A report of a planner's capacity.

    Few fields take less room than one for each figure: a planner sends a
    report some two hundred times a second in a large fleet.
    """

    age_ms: int
    """Time from the report until the heartbeat was sent."""
    services: list[str] = []
    sizes: list[int] = []
    """Four numbers for each size: the index of its service, the cores, and
    how many tasks can start now, and how many more soon."""
    asked: int = 0
    queued: list[int] = []
    """Two numbers for each priority: the priority and the milliseconds."""


_TEXT_LIST = (Thrift.TType.LIST, (Thrift.TType.STRING, "UTF8", False))
_I32_LIST = (Thrift.TType.LIST, (Thrift.TType.I32, None, False))
wire.declare(RoomFields, wire.I32, _TEXT_LIST, _I32_LIST, wire.I32, _I32_LIST)


@functools.lru_cache(MAX_CACHED)
def encode(report: room_reports.Report | None, sent_at: float) -> bytes | None:
    """Encode a report, without the last sizes if it is too large.

    Parameters
    ----------
    report : Report, optional
        The report of this instance.
    sent_at : float
        When the heartbeat is sent, in seconds of the clock here.

    Returns
    -------
    bytes or None
        At most `room_reports.MAX_BYTES`; None if there is no report, or if
        it is too large without any size.
    """
    if report is None:
        return None
    report = room_reports.trim(report)
    age_ms = max(0, math.ceil((sent_at - report.made_at) * 1000.0))
    for count in range(len(report.sizes), -1, -1):
        fields = _to_fields(report, report.sizes[:count], age_ms)
        raw = wire.encode_struct(fields)
        if len(raw) <= room_reports.MAX_BYTES:
            return raw
    return None


def _to_fields(report, sizes, age_ms):
    services = sorted({size.service for size in sizes})
    rows = [
        (
            services.index(size.service),
            size.cpu // 1000,
            min(size.free, MAX_COUNT),
            min(size.soon - size.free, MAX_COUNT),
        )
        for size in sizes
    ]
    queued = [
        (each.priority, min(round(each.seconds * 1000.0), MAX_COUNT))
        for each in report.queued
    ]
    return RoomFields(
        min(age_ms, MAX_COUNT),
        services,
        list(itertools.chain.from_iterable(rows)),
        min(report.asked, len(sizes)),
        list(itertools.chain.from_iterable(queued)),
    )


def decode(
    raw: bytes | None, sent_at: float
) -> tuple[room_reports.Report | None, str]:
    """Decode the report of a heartbeat.

    Parameters
    ----------
    raw : bytes, optional
        What `encode` returned.
    sent_at : float
        When the heartbeat was sent, in seconds of the sender's clock.

    Returns
    -------
    tuple of Report and str
        The report, None if there is none, and why it was dropped; the reason
        is empty if it was not.
    """
    if raw is None:
        return None, ""
    if len(raw) > room_reports.MAX_BYTES:
        return None, OVERSIZED
    try:
        return _from_fields(wire.decode_struct(raw, RoomFields), sent_at)
    except (errors.BadMessage, IndexError, TypeError, ValueError):
        return None, MALFORMED


def _from_fields(fields, sent_at):
    rows = _split(fields.sizes, SIZE_NUMBERS)
    queued = _split(fields.queued, QUEUED_NUMBERS)
    if len(rows) + len(queued) > room_reports.MAX_ENTRIES:
        return None, OVERSIZED
    numbers = [*fields.sizes, fields.age_ms, fields.asked]
    numbers += [len(rows) - fields.asked, *(each[1] for each in queued)]
    if min(numbers) < 0 or min((row[1] for row in rows), default=1) < 1:
        raise ValueError(f"negative number in {fields!r}")
    report = room_reports.Report(
        sent_at - fields.age_ms / 1000.0,
        tuple(
            room_reports.SizeRoom(
                fields.services[number], cores * 1000, free, free + more
            )
            for number, cores, free, more in rows
        ),
        tuple(
            room_reports.QueuedWork(priority, queued_ms / 1000.0)
            for priority, queued_ms in queued
        ),
        fields.asked,
    )
    return report, ""


def _split(numbers, count):
    """Return a list of numbers as rows of some numbers each."""
    if len(numbers) % count:
        raise ValueError(f"{len(numbers)} numbers")
    return list(zip(*(iter(numbers),) * count, strict=True))
