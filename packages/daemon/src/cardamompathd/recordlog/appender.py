"""The task that appends to the log, one append at a time.

Whoever tells it an append waits for `AppendEnded` before the next one,
and reads back what became of an append whose answer was lost.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from typing import Any

import loguru

from cardamompathd import messages
from cardamompathd.recordlog import errors
from cardamompathd.recordlog import log_client

__all__ = [
    "AppenderTask",
    "start",
]


class AppenderTask(threading.Thread):
    """Appends and reads back over its own connection.

    Parameters
    ----------
    client : LogClient
        The connection that this task owns.
    answer : callable
        Called with `AppendEnded` and `ReadBackEnded`.
    """

    def __init__(
        self, client: log_client.LogClient, answer: Callable[[Any], None]
    ):
        super().__init__(name="appender", daemon=True)
        self._client = client
        self._answer = answer
        self._down = False
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()

    def tell(self, msg: messages.Append | messages.ReadBack | None) -> None:
        """Hand over a message; None ends the task."""
        self._inbox.put(msg)

    def run(self) -> None:
        """Carry out one message after the other."""
        while True:
            msg = self._inbox.get()
            if msg is None:
                break
            if isinstance(msg, messages.Append):
                ended = messages.AppendEnded(self._append(msg))
            else:
                ended = messages.ReadBackEnded(self._read_back(msg))
            if self._inbox.empty():
                self._answer(ended)
        self._client.close()

    def _append(self, msg):
        try:
            self._client.append(msg.stream, msg.records)
        except errors.LogUnavailable as exc:
            self._warn_once("append refused", exc)
            return "refused"
        except errors.AppendOutcomeUnknown as exc:
            loguru.logger.warning("platform: append answer lost: {}", exc)
            return "unknown"
        self._down = False
        return "done"

    def _read_back(self, msg):
        offset = msg.offset
        records = []
        try:
            while True:
                read = self._client.read(msg.stream, offset, 0.0)
                records += [record for _, record in read.records]
                if not read.records or read.records[-1][0] + 1 >= read.head:
                    self._down = False
                    return tuple(records)
                offset = read.records[-1][0] + 1
        except errors.LogUnavailable as exc:
            self._warn_once("cannot read back", exc)
            return None

    def _warn_once(self, text, exc):
        """Warn of the first failure in a row only."""
        if not self._down:
            loguru.logger.warning("platform: {}: {}", text, exc)
        self._down = True


def start(client, answer) -> AppenderTask:
    """Start the task that appends."""
    task = AppenderTask(client, answer)
    task.start()
    return task
