"""A fake of the platform's log and a reader that follows it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cardamompath_proof.harness import events
from cardamompath_proof.harness import network
from cardamompathd import messages
from cardamompathd.recordlog import errors
from cardamompathd.recordlog import reader

__all__ = [
    "FakeLog",
    "Follower",
]

TIMEOUT = 2.0
"""Seconds after which a call to the log times out."""


class FakeLog:
    """The log: streams of records with offsets.

    Parameters
    ----------
    queue : EventQueue
        Clock and event queue.
    net : Network
        Links between the platform and the clients of the log.
    """

    def __init__(self, queue: events.EventQueue, net: network.Network):
        self.queue = queue
        self.net = net
        self.streams: dict[str, list[Any]] = {}
        self.oldest_offsets: dict[str, int] = {}
        """Offset of the oldest retained record, by stream."""
        self.up = True
        self.extra_latency = 0.0
        """Seconds added to each call."""
        self.max_records: dict[str, int] = {}
        """Retention limit by stream; a stream without one keeps everything."""
        self.answers_to_lose = 0
        """Number of coming appends that are stored but get no answer."""
        self.append_rate = 0.0
        """Appends accepted a second; 0 for no limit."""
        self.append_times: list[float] = []
        """Times of the appends of the last second."""
        self.waiting_polls: list[Callable[[], None]] = []
        """Callbacks of the long polls that wait for a record."""

    def head(self, stream: str) -> int:
        """Return the offset that the next append will get."""
        return len(self.streams.get(stream, ()))

    def read(self, stream: str, offset: int) -> tuple:
        """Return pairs of offset and record, from an offset on."""
        first = max(offset, self.oldest_offsets.get(stream, 0))
        kept = self.streams.get(stream, [])[first:]
        return tuple(enumerate(kept, first))

    def append(
        self,
        location: str,
        stream: str,
        records: list[Any],
        on_result: Callable[[Any], None],
    ) -> None:
        """Append records on behalf of a location.

        `on_result` gets the offset of the first record, or an error.
        """
        delay = (
            self.net.delay(location, network.PLATFORM) + self.extra_latency / 2
        )
        resolved = []

        def resolve(answer):
            if not resolved:
                resolved.append(True)
                on_result(answer)

        if not self._is_reachable(location):
            error = errors.LogUnavailable("log is unreachable")
            self.queue.schedule(TIMEOUT, lambda: resolve(error))
            return
        error = errors.AppendOutcomeUnknown("append timed out")
        self.queue.schedule(TIMEOUT, lambda: resolve(error))

        def apply():
            answer = self._append(stream, records)
            if answer is not None and self._is_reachable(location):
                self.queue.schedule(delay, lambda: resolve(answer))

        self.queue.schedule(delay, apply)

    def _is_reachable(self, location):
        return self.up and self.net.is_connected(location, network.PLATFORM)

    def read_back(self, location: str, stream: str, offset: int) -> Any:
        """Return the records from an offset on; None if unreachable."""
        if not self._is_reachable(location):
            return None
        return tuple(record for _, record in self.read(stream, offset))

    def _append(self, stream, records):
        """Store the records; return the answer, or None when it is lost."""
        if not self.up or self._is_over_rate():
            return errors.LogUnavailable("log refused the append")
        kept = self.streams.setdefault(stream, [])
        first = len(kept)
        kept.extend(records)
        limit = self.max_records.get(stream)
        if limit:
            self.oldest_offsets[stream] = max(0, len(kept) - limit)
        waiting, self.waiting_polls = self.waiting_polls, []
        for wake in waiting:
            wake()
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return None
        return first

    def _is_over_rate(self):
        now = self.queue.now
        self.append_times = [
            time for time in self.append_times if time > now - 1.0
        ]
        self.append_times.append(now)
        return 0 < self.append_rate < len(self.append_times)


class Follower:
    """Follows a stream by long polls, as the reader task does.

    Parameters
    ----------
    log : FakeLog
        The log to read.
    location, stream : str
        Failure domain of the reader, and the stream.
    tell : callable
        Called with each `RecordsRead` message.
    rng : random.Random
        Jitters the retries while the log is unreachable.
    max_wait : float
        Seconds that a poll waits for a record.
    """

    def __init__(self, log, location, stream, tell, rng, max_wait: float):
        self.log = log
        self.location = location
        self.stream = stream
        self.tell = tell
        self.rng = rng
        self.max_wait = max_wait
        self.offset = 0
        self.stopped = False
        self.poll_id = 0

    def poll(self) -> None:
        """Read the available records, or wait for one."""
        if self.stopped:
            return
        self.poll_id += 1
        if not self._is_reachable():
            self._poll_later()
            return
        if self.log.read(self.stream, self.offset):
            self._schedule_delivery()
            return
        poll_id = self.poll_id
        self.log.waiting_polls.append(lambda: self._wake(poll_id))
        self.log.queue.schedule(self.max_wait, lambda: self._wake(poll_id))

    def hang_poll(self) -> None:
        """Leave the current poll without an answer until it times out."""
        self.poll_id += 1
        delay = self.max_wait + TIMEOUT
        self.log.queue.schedule(delay, self.poll)

    def _is_reachable(self):
        connected = self.log.net.is_connected(self.location, network.PLATFORM)
        return self.log.up and connected

    def _wake(self, poll_id):
        if poll_id != self.poll_id or self.stopped:
            return
        if self._is_reachable():
            self._schedule_delivery()
        else:
            self._poll_later()

    def _poll_later(self):
        delay = reader.RETRY_DELAY * self.rng.uniform(0.5, 1.5)
        self.log.queue.schedule(delay, self.poll)

    def _schedule_delivery(self):
        self.poll_id += 1
        delay = self.log.extra_latency + self.log.net.delay(
            self.location, network.PLATFORM
        )
        self.log.queue.schedule(delay, self._deliver)

    def _deliver(self):
        if self.stopped:
            return
        if not self._is_reachable():
            self._poll_later()
            return
        records = self.log.read(self.stream, self.offset)
        oldest = self.log.oldest_offsets.get(self.stream, 0)
        head = self.log.head(self.stream)
        self.offset = head
        self.tell(messages.RecordsRead(self.stream, records, oldest, head))
        self.poll()
