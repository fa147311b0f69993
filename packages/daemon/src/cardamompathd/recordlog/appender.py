"""The task that appends to the log, one append at a time.

The sender of an append waits for `AppendEnded` before the next one, and
reads the stream back to learn the outcome of an append without an answer.
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
    """Appends to the log and reads it back over a connection of its own.

    Parameters
    ----------
    client : LogClient
        Client whose connection this task owns.
    reply : callable
        Called with `AppendEnded` and `ReadBackEnded`.
    """

    def __init__(
        self, client: log_client.LogClient, reply: Callable[[Any], None]
    ):
        super().__init__(name="appender", daemon=True)
        self._client = client
        self._reply = reply
        self._is_down = False
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()

    def tell(self, msg: messages.Append | messages.ReadBack | None) -> None:
        """Queue a message; None stops the task."""
        self._inbox.put(msg)

    def run(self) -> None:
        """Process the messages in turn."""
        while True:
            msg = self._inbox.get()
            if msg is None:
                break
            if isinstance(msg, messages.Append):
                ended = messages.AppendEnded(self._append(msg))
            else:
                ended = messages.ReadBackEnded(self._read_back(msg))
            if self._inbox.empty():
                self._reply(ended)
        self._client.close()

    def _append(self, msg):
        try:
            self._client.append(msg.stream, msg.records)
        except errors.LogUnavailable as exc:
            self._warn_if_first("append refused", exc)
            return "refused"
        except errors.AppendOutcomeUnknown as exc:
            loguru.logger.warning("platform: append answer lost: {}", exc)
            return "unknown"
        self._is_down = False
        return "done"

    def _read_back(self, msg):
        offset = msg.offset
        records = []
        try:
            while True:
                read = self._client.read(msg.stream, offset, 0.0)
                records += [record for _, record in read.records]
                if not read.records or read.records[-1][0] + 1 >= read.head:
                    self._is_down = False
                    return tuple(records)
                offset = read.records[-1][0] + 1
        except errors.LogUnavailable as exc:
            self._warn_if_first("cannot read back", exc)
            return None

    def _warn_if_first(self, text, exc):
        """Log a warning for the first of several failures in a row."""
        if not self._is_down:
            loguru.logger.warning("platform: {}: {}", text, exc)
        self._is_down = True


def start(client, reply) -> AppenderTask:
    """Start the task that appends to the log."""
    task = AppenderTask(client, reply)
    task.start()
    return task
