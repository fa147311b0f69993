"""The decision log: one JSON object a line on standard output.

A thread of its own writes the lines from a bounded queue, several at a time.
If the queue is full or the lines exceed a rate limit, lines are dropped and
counted, so that no decision waits for the log.
"""

from __future__ import annotations

import queue
import sys
import threading
import time
from typing import Any

import loguru
import orjson

from cardamompathd import pool_messages

__all__ = [
    "DecisionLog",
    "configure",
]

QUEUE_LENGTH = 2000
"""Capacity of the queue in lines, about one second of the busiest instance."""
LINES_PER_SECOND = 1500
"""Rate limit, twice the rate of the busiest second of the users' traffic."""
WRITE_INTERVAL = 0.2
"""Seconds for which lines are gathered before they are written at once."""
FLUSH_TIMEOUT = 0.4
"""Seconds to write the queued lines when the instance stops; twice the time
for which lines are gathered."""
POLL_INTERVAL = 0.01
"""Seconds between checks whether they are written."""


class DecisionLog:
    """A queue of log lines with a rate limit.

    Parameters
    ----------
    length : int
        Capacity of the queue in lines.
    rate : int
        Largest number of lines written in a second.
    """

    def __init__(
        self, length: int = QUEUE_LENGTH, rate: int = LINES_PER_SECOND
    ):
        self._length = length
        self._rate = rate
        self._entries: queue.SimpleQueue = queue.SimpleQueue()
        self._dropped = 0
        self._current_second = 0
        self._written_in_second = 0

    def record(self, decision: pool_messages.Decision) -> None:
        """Queue a decision for writing, or drop it."""
        fields: dict[str, Any] = {
            "part": decision.part,
            "event": decision.event,
        }
        if decision.request:
            fields["request"] = decision.request
        fields.update(decision.fields)
        self.enqueue(time.time(), fields)

    def enqueue(self, at: float, fields: dict[str, Any]) -> None:
        """Queue the fields of a line, or drop them; never wait."""
        if self._entries.qsize() >= self._length:
            self._dropped += 1
        else:
            self._entries.put((at, fields))

    def wait(self) -> None:
        """Wait until the queue is not empty, and for more lines to come."""
        self._entries.put(self._entries.get())
        time.sleep(WRITE_INTERVAL)

    def take_lines(self) -> bytes:
        """Remove all queued lines; return those within the rate limit."""
        lines = []
        for _ in range(self._entries.qsize()):
            line = self._format(*self._entries.get())
            if line is not None:
                lines.append(line)
        return b"".join(lines)

    def _format(self, at, fields):
        if int(at) != self._current_second:
            self._current_second = int(at)
            self._written_in_second = 0
            if self._dropped:
                fields["left_out_before"] = self._dropped
                self._dropped = 0
        if self._written_in_second >= self._rate:
            self._dropped += 1
            return None
        self._written_in_second += 1
        line = {"time": round(at, 4), **fields}
        try:
            return orjson.dumps(line, repr, orjson.OPT_APPEND_NEWLINE)
        except orjson.JSONEncodeError as exc:
            # Text of a caller or a peer may not be valid Unicode.
            invalid = {"time": line["time"], "invalid": ascii(fields)}
            invalid["error"] = str(exc)
            return orjson.dumps(invalid, None, orjson.OPT_APPEND_NEWLINE)

    def is_empty(self) -> bool:
        """Return whether the queue is empty."""
        return self._entries.empty()

    def close(self) -> None:
        """Wait until the queue is empty, for a limited time."""
        deadline = time.monotonic() + FLUSH_TIMEOUT
        while not self.is_empty() and time.monotonic() < deadline:
            time.sleep(POLL_INTERVAL)

    def record_log_message(self, message: Any) -> None:
        """Queue a log message of loguru."""
        record = message.record
        part, _, text = record["message"].partition(": ")
        fields = {"part": part, "event": text, "level": record["level"].name}
        if record["exception"] is not None:
            fields["exception"] = repr(record["exception"].value)
        self.enqueue(record["time"].timestamp(), fields)


def configure(level: str = "INFO") -> DecisionLog:
    """Send log messages and decisions to standard output.

    Returns
    -------
    DecisionLog
        The log that records the decisions.
    """
    log = DecisionLog()
    loguru.logger.remove()
    loguru.logger.add(log.record_log_message, level=level, format="{message}")

    def write_lines():
        while True:
            log.wait()
            sys.stdout.buffer.write(log.take_lines())
            sys.stdout.buffer.flush()

    threading.Thread(target=write_lines, name="log", daemon=True).start()
    return log
