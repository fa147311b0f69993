"""The log of decisions: one JSON object a line on standard output.

Lines go through a bounded queue to a thread of their own.  When it is
full they are left out and counted, so that no decision waits for the
log.
"""

from __future__ import annotations

import json
import queue
import sys
import threading
import time
from typing import Any

import loguru

from cardamompathd import pool_messages

__all__ = [
    "close",
    "configure",
    "write_note",
]

QUEUE_LENGTH = 2000
"""Lines that wait; about a second of the busiest instance."""
LINES_PER_SECOND = 1500
"""Most lines written in a second; beyond that they are left out."""

_lines: queue.Queue = queue.Queue(QUEUE_LENGTH)
_left_out = 0


def configure(level: str = "INFO") -> None:
    """Send the log to standard output through the bounded queue."""
    loguru.logger.remove()
    loguru.logger.add(_take_record, level=level, format="{message}")
    threading.Thread(target=_write_lines, name="log", daemon=True).start()


def close() -> None:
    """Wait shortly for the lines that are underway."""
    end = time.monotonic() + 0.2
    while not _lines.empty() and time.monotonic() < end:
        time.sleep(0.01)


def write_note(note: pool_messages.Note) -> None:
    """Write a decision."""
    fields: dict[str, Any] = {"part": note.part, "event": note.event}
    if note.request:
        fields["request"] = note.request
    fields.update(note.fields)
    _put(time.time(), fields)


def _take_record(message):
    record = message.record
    part, _, text = record["message"].partition(": ")
    fields = {
        "part": part,
        "event": text,
        "level": record["level"].name,
    }
    if record["exception"] is not None:
        fields["exception"] = repr(record["exception"].value)
    _put(record["time"].timestamp(), fields)


def _put(at, fields):
    global _left_out
    try:
        _lines.put_nowait((at, fields))
    except queue.Full:
        _left_out += 1


def _write_lines():
    global _left_out
    second, count = 0, 0
    while True:
        at, fields = _lines.get()
        if int(at) != second:
            second, count = int(at), 0
            if _left_out:
                fields["left_out_before"] = _left_out
                _left_out = 0
        count += 1
        if count > LINES_PER_SECOND:
            _left_out += 1
            continue
        line = {"time": round(at, 4), **fields}
        sys.stdout.write(json.dumps(line) + "\n")
        if _lines.empty():
            sys.stdout.flush()
