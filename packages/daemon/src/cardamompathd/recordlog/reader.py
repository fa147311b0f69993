"""The task that follows one stream of the log."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

import loguru

from cardamompathd import messages
from cardamompathd.recordlog import errors
from cardamompathd.recordlog import log_client

__all__ = [
    "ReaderTask",
    "start",
]

READ_WAIT = 1.0
"""Seconds that a read waits for a record.  A read whose connection is dead
has to time out before a lease or a release note is late."""

RETRY_DELAY = 0.5
"""Mean seconds between reads while the log is down; with jitter."""


class ReaderTask(threading.Thread):
    """Reads a stream from its oldest record on and reports what it read.

    Parameters
    ----------
    client : LogClient
        Client whose connection this task owns.
    stream : str
        The stream to follow.
    tell : callable
        Called with each `RecordsRead`.
    rng : random.Random
        Jitter of the reads while the log is down.
    wait : float
        Seconds that a read waits for a record.
    """

    def __init__(
        self,
        client: log_client.LogClient,
        stream: str,
        tell: Callable[[messages.RecordsRead], None],
        rng: random.Random,
        wait: float,
    ):
        super().__init__(name=f"reader-{stream}", daemon=True)
        self._client = client
        self._stream = stream
        self._tell = tell
        self._rng = rng
        self._wait = wait
        self._stop_requested = threading.Event()

    def stop(self) -> None:
        """Stop the task and abort the read in progress."""
        self._stop_requested.set()
        self._client.abort()

    def run(self) -> None:
        """Follow the stream until the task is stopped."""
        offset = 0
        is_down = False
        while not self._stop_requested.is_set():
            try:
                read = self._client.read(self._stream, offset, self._wait)
            except errors.LogUnavailable as exc:
                if not is_down and not self._stop_requested.is_set():
                    loguru.logger.warning("platform: log is down: {}", exc)
                is_down = True
                self._stop_requested.wait(
                    RETRY_DELAY * self._rng.uniform(0.5, 1.5)
                )
                continue
            if self._stop_requested.is_set():
                break
            if is_down:
                loguru.logger.info("platform: log is back")
            is_down = False
            offset = read.head
            if read.records:
                offset = read.records[-1][0] + 1
            if not self._stop_requested.is_set():
                self._tell(read)
        self._client.close()


def start(client, stream, tell, rng, wait=READ_WAIT) -> ReaderTask:
    """Start the task that follows `stream`."""
    task = ReaderTask(client, stream, tell, rng, wait)
    task.start()
    return task
