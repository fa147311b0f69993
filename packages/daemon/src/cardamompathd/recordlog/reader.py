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
"""Seconds that a read waits for a record; one that goes silent has to
be given up before a lease or a release note is late."""

RETRY_DELAY = 0.5
"""Mean seconds between attempts while the log is down."""


class ReaderTask(threading.Thread):
    """Reads a stream from its oldest record on and tells what it read.

    Parameters
    ----------
    client : LogClient
        The connection that this task owns.
    stream : str
        The stream to follow.
    tell : callable
        Called with each `RecordsRead`.
    rng : random.Random
        Spreads the attempts while the log is down.
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
        self._ended = threading.Event()

    def stop(self) -> None:
        """End the task, and the read in progress with it."""
        self._ended.set()
        self._client.abort()

    def run(self) -> None:
        """Follow the stream until the end."""
        offset = 0
        down = False
        while not self._ended.is_set():
            try:
                read = self._client.read(self._stream, offset, self._wait)
            except errors.LogUnavailable as exc:
                if not down and not self._ended.is_set():
                    loguru.logger.warning("platform: log is down: {}", exc)
                down = True
                self._ended.wait(RETRY_DELAY * self._rng.uniform(0.5, 1.5))
                continue
            if self._ended.is_set():
                break
            if down:
                loguru.logger.info("platform: log is back")
            down = False
            offset = read.head
            if read.records:
                offset = read.records[-1][0] + 1
            if not self._ended.is_set():
                self._tell(read)
        self._client.close()


def start(client, stream, tell, rng, wait=READ_WAIT) -> ReaderTask:
    """Start the task that follows `stream`."""
    task = ReaderTask(client, stream, tell, rng, wait)
    task.start()
    return task
