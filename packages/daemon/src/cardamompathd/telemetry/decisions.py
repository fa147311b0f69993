"""The log of decisions: one JSON object a line on standard output.

Lines go through a bounded queue to a task of their own.  When it is full,
or more than a number of lines came in a second, lines are left out and
counted, so that no decision ever waits for the log.
"""

from __future__ import annotations

import json
import queue
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

import loguru

from cardamompathd import pool_messages

__all__ = [
    "DecisionLog",
    "configure",
]

QUEUE_LENGTH = 2000
"""Lines that wait; about a second of the busiest instance."""
LINES_PER_SECOND = 1500
"""Most lines written in a second; twice the busiest second of the users'
days."""
LAST_LINES = 0.2
"""Seconds for the lines that are underway when the instance ends."""
LOOK_INTERVAL = 0.01
"""Seconds between looks whether they are written."""


class DecisionLog:
    """Lines that wait, and how many were left out.

    Parameters
    ----------
    write : callable
        Writes a text to where the log goes.
    length : int
        Most lines that wait.
    rate : int
        Most lines of one second.
    """

    def __init__(
        self,
        write: Callable[[str], Any],
        length: int = QUEUE_LENGTH,
        rate: int = LINES_PER_SECOND,
    ):
        self._write = write
        self._rate = rate
        self._lines: queue.Queue = queue.Queue(length)
        self._left_out = 0
        self._second = 0
        self._written = 0

    def record(self, decision: pool_messages.Decision) -> None:
        """Take a decision, or leave it out."""
        fields: dict[str, Any] = {
            "part": decision.part,
            "event": decision.event,
        }
        if decision.request:
            fields["request"] = decision.request
        fields.update(decision.fields)
        self.enqueue(time.time(), fields)

    def enqueue(self, at: float, fields: dict[str, Any]) -> None:
        """Take the fields of a line, or leave it out; never wait."""
        try:
            self._lines.put_nowait((at, fields))
        except queue.Full:
            self._left_out += 1

    def write_next(self) -> None:
        """Wait for a line and write it, unless the second is full."""
        at, fields = self._lines.get()
        if int(at) != self._second:
            self._second = int(at)
            self._written = 0
            if self._left_out:
                fields["left_out_before"] = self._left_out
                self._left_out = 0
        if self._written >= self._rate:
            self._left_out += 1
            return
        self._written += 1
        line = {"time": round(at, 4), **fields}
        self._write(json.dumps(line, default=repr) + "\n")

    def is_empty(self) -> bool:
        """Return whether no line waits."""
        return self._lines.empty()

    def close(self) -> None:
        """Wait shortly for the lines that are underway."""
        end = time.monotonic() + LAST_LINES
        while not self.is_empty() and time.monotonic() < end:
            time.sleep(LOOK_INTERVAL)

    def record_log_message(self, message: Any) -> None:
        """Take a record of the library's log."""
        record = message.record
        part, _, text = record["message"].partition(": ")
        fields = {"part": part, "event": text, "level": record["level"].name}
        if record["exception"] is not None:
            fields["exception"] = repr(record["exception"].value)
        self.enqueue(record["time"].timestamp(), fields)


def configure(level: str = "INFO") -> DecisionLog:
    """Send the whole log to standard output; return where to note."""
    log = DecisionLog(sys.stdout.write)
    loguru.logger.remove()
    loguru.logger.add(log.record_log_message, level=level, format="{message}")

    def write_all():
        while True:
            log.write_next()
            if log.is_empty():
                sys.stdout.flush()

    threading.Thread(target=write_all, name="log", daemon=True).start()
    return log
