"""The task that keeps cancellations in the store.

It owns its connection.  Cancellations are appended in group commits, and
read once at the start of the instance.
"""

from __future__ import annotations

import collections
import math
import queue
import threading
from collections.abc import Callable
from typing import Any

import loguru

from cardamompath_core import cancellation_log
from cardamompath_core import cancellations
from cardamompathd import pool_messages
from cardamompathd.platform import errors
from cardamompathd.platform import store

__all__ = [
    "CancellationLog",
    "TOPIC",
    "read_newest",
]

TOPIC = "cancelled"
"""Topic of the cancellations; its records have no keys."""
MAX_PAGES = 100
"""Largest number of calls of a reading; the records that can count take a few
of the pages of up to 500 records or 1 MB."""


class CancellationLog(threading.Thread):
    """Appends cancellations to the store, and reads them at the start.

    Parameters
    ----------
    client : StoreClient
        The connection that this task owns.
    writer : int
        Random number of this process, below 2 to the power of 64.
    tell : callable
        Called with `CancellationsLogged` and `CancellationsRead`.
    clock : callable
        Returns the present time in seconds; it does not jump.
    """

    def __init__(
        self,
        client: store.StoreClient,
        writer: int,
        tell: Callable[[Any], None],
        clock: Callable[[], float],
    ):
        super().__init__(name="cancellations", daemon=True)
        self._client = client
        self._tell = tell
        self._clock = clock
        self._inbox: queue.SimpleQueue = queue.SimpleQueue()
        self._queue = cancellation_log.AppendQueue(writer)
        self._started_at = clock()
        self._read_due_at = -math.inf
        """When the next try to read is due; infinite once that succeeded."""
        self._stop_requested = False
        self._unavailable = False

    def append(self, msg: pool_messages.AppendCancellation) -> None:
        """Append a cancellation with the next group commit."""
        self._inbox.put(msg)

    def stop(self) -> None:
        """Stop the task after one more try to append what waits."""
        self._inbox.put(None)

    def run(self) -> None:
        """Append and read until the task is stopped."""
        while True:
            try:
                pause = self.step()
            except Exception:
                # Whatever the store sends must not end the task.
                loguru.logger.exception("store: {}: step failed", self.name)
                pause = cancellation_log.RETRY_DELAY
            if self._stop_requested:
                break
            if pause != 0.0:
                self._wait_for_message(pause)
        self._client.close()

    def step(self) -> float | None:
        """Make the calls that are due.

        Returns
        -------
        float or None
            Seconds until the next call; None if only a message causes one.
        """
        self._drain_inbox()
        dropped = self._queue.drop_expired(self._clock())
        if dropped:
            self._tell(pool_messages.CancellationsLogged((), dropped))
        time_left = self._queue.time_left(self._clock())
        if time_left is not None and (time_left <= 0 or self._stop_requested):
            self._append_waiting()
        if self._clock() >= self._read_due_at and not self._stop_requested:
            self._read()
        return self._pause()

    def _pause(self):
        now = self._clock()
        time_left = self._queue.time_left(now)
        times = [] if time_left is None else [time_left]
        if self._read_due_at < math.inf:
            times.append(max(0.0, self._read_due_at - now))
        return min(times, default=None)

    def _wait_for_message(self, pause):
        try:
            self._receive(self._inbox.get(timeout=pause))
        except queue.Empty:
            return

    def _drain_inbox(self):
        while not self._inbox.empty():
            self._receive(self._inbox.get())

    def _receive(self, msg):
        if msg is None:
            self._stop_requested = True
            return
        try:
            self._queue.add(msg.name, msg.cancelled_at)
        except ValueError as exc:
            loguru.logger.error("store: cancellation not appended: {}", exc)

    def _append_waiting(self):
        records = self._queue.take(self._clock())
        raw_records = [cancellation_log.encode(record) for record in records]
        if not self._attempt(lambda: self._client.append(TOPIC, raw_records)):
            self._queue.retry(self._clock())
            return
        names = tuple(record.name for record in records)
        self._queue.confirm(names)
        self._tell(pool_messages.CancellationsLogged(names, ()))

    def _read(self):
        if not self._attempt(self._send_reading):
            self._read_due_at = self._clock() + cancellation_log.RETRY_DELAY
            return
        self._read_due_at = math.inf

    def _send_reading(self):
        reading = cancellation_log.choose(read_newest(self._client))
        duration = self._clock() - self._started_at
        self._tell(pool_messages.CancellationsRead(reading, duration))

    def _attempt(self, call):
        """Make a call to the store; return whether it succeeded."""
        try:
            call()
        except errors.AdapterError as exc:
            if not self._unavailable:
                loguru.logger.warning(
                    "store: {}: unavailable: {}", self.name, exc
                )
            self._unavailable = True
            return False
        if self._unavailable:
            loguru.logger.info("store: {}: available again", self.name)
        self._unavailable = False
        return True


def read_newest(client: store.StoreClient) -> list[bytes]:
    """Return the newest records of cancellations, as many as can count.

    Raises
    ------
    StoreUnavailable
        If the store sent no valid response, or the log grew faster than it
        could be read.
    RecordsExpired
        If the store did not tell which records it still has.
    """
    found: collections.deque[bytes] = collections.deque(
        maxlen=cancellations.MAX_CANCELLATIONS
    )
    offset = 0
    for _ in range(MAX_PAGES):
        try:
            records, end = client.read_page(TOPIC, offset, 0.0)
        except errors.RecordsExpired as exc:
            if exc.first is None or exc.first <= offset:
                raise
            offset = exc.first
            continue
        found.extend(records)
        offset += len(records)
        if offset >= end:
            return list(found)
        if not records:
            raise errors.StoreUnavailable(
                f"{TOPIC} from {offset}: no records, though {end} is the end"
            )
        # Only the newest ones can count.
        offset = max(offset, end - cancellations.MAX_CANCELLATIONS)
    raise errors.StoreUnavailable(f"{TOPIC}: more than {MAX_PAGES} pages")
