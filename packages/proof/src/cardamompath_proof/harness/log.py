"""A fake of the platform's log and its instance list."""

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
"""Seconds after which a call to the log is given up."""


class FakeLog:
    """Streams of records with offsets.

    Parameters
    ----------
    queue : EventQueue
        The clock and the events.
    net : Network
        Links to the callers of the log.
    """

    def __init__(self, queue: events.EventQueue, net: network.Network):
        self.queue = queue
        self.net = net
        self.streams: dict[str, list[Any]] = {}
        self.oldest: dict[str, int] = {}
        self.up = True
        self.slowness = 0.0
        self.keep: dict[str, int] = {}
        """Records that a stream keeps; all without an entry."""
        self.lose_answers = 0
        """How many of the next appends lose their answer."""
        self.rate = 0.0
        """Appends a second that are taken; 0 for any number."""
        self.appends: list[float] = []
        self.waiting: list[Callable[[], None]] = []

    def head(self, stream: str) -> int:
        """Return the offset that the next append will get."""
        return len(self.streams.get(stream, ()))

    def records(self, stream: str, offset: int) -> tuple:
        """Return offsets and records from an offset on."""
        first = max(offset, self.oldest.get(stream, 0))
        kept = self.streams.get(stream, [])[first:]
        return tuple(enumerate(kept, first))

    def append(
        self,
        place: str,
        stream: str,
        records: list[Any],
        done: Callable[[Any], None],
    ) -> None:
        """Append from a place; `done` gets the offset or an error."""
        delay = self.net.delay(place, network.PLATFORM) + self.slowness / 2
        over = []

        def end(answer):
            if not over:
                over.append(True)
                done(answer)

        if not self._reaches(place):
            error = errors.LogUnavailable("log is down")
            self.queue.after(TIMEOUT, lambda: end(error))
            return
        error = errors.AppendOutcomeUnknown("no answer in time")
        self.queue.after(TIMEOUT, lambda: end(error))

        def take():
            answer = self._take(stream, records)
            if answer is not None and self._reaches(place):
                self.queue.after(delay, lambda: end(answer))

        self.queue.after(delay, take)

    def _reaches(self, place):
        return self.up and self.net.linked(place, network.PLATFORM)

    def read_back(self, place: str, stream: str, offset: int) -> Any:
        """Return the records from an offset on, or None."""
        if not self._reaches(place):
            return None
        return tuple(one for _, one in self.records(stream, offset))

    def _take(self, stream, records):
        """Append and return the answer, or None when it is lost."""
        if not self.up or self._is_over_rate():
            return errors.LogUnavailable("refused")
        kept = self.streams.setdefault(stream, [])
        first = len(kept)
        kept.extend(records)
        keep = self.keep.get(stream)
        if keep:
            self.oldest[stream] = max(0, len(kept) - keep)
        waiting, self.waiting = self.waiting, []
        for wake in waiting:
            wake()
        if self.lose_answers:
            self.lose_answers -= 1
            return None
        return first

    def _is_over_rate(self):
        now = self.queue.now
        self.appends = [one for one in self.appends if one > now - 1.0]
        self.appends.append(now)
        return 0 < self.rate < len(self.appends)


class Follower:
    """Follows a stream as the reader task does, by long polls.

    Parameters
    ----------
    log : FakeLog
        The log.
    place, stream : str
        Where the reader runs, and what it reads.
    tell : callable
        Called with each `RecordsRead`.
    rng : random.Random
        Spreads the attempts while the log is down.
    wait : float
        Seconds that a read waits for a record.
    """

    def __init__(self, log, place, stream, tell, rng, wait: float):
        self.log = log
        self.place = place
        self.stream = stream
        self.tell = tell
        self.rng = rng
        self.wait = wait
        self.offset = 0
        self.ended = False
        self.poll_id = 0

    def poll(self) -> None:
        """Read what there is, or wait for it."""
        if self.ended:
            return
        self.poll_id += 1
        if not self._reaches():
            self._later()
            return
        if self.log.records(self.stream, self.offset):
            self._read()
            return
        waited = self.poll_id
        self.log.waiting.append(lambda: self._wake(waited))
        self.log.queue.after(self.wait, lambda: self._wake(waited))

    def hang(self) -> None:
        """Let the poll in progress go silent until it is given up."""
        self.poll_id += 1
        wait = self.wait + TIMEOUT
        self.log.queue.after(wait, self.poll)

    def _reaches(self):
        linked = self.log.net.linked(self.place, network.PLATFORM)
        return self.log.up and linked

    def _wake(self, waited):
        if waited != self.poll_id or self.ended:
            return
        if self._reaches():
            self._read()
        else:
            self._later()

    def _later(self):
        delay = reader.RETRY_DELAY * self.rng.uniform(0.5, 1.5)
        self.log.queue.after(delay, self.poll)

    def _read(self):
        self.poll_id += 1
        delay = self.log.slowness + self.log.net.delay(
            self.place, network.PLATFORM
        )
        self.log.queue.after(delay, self._deliver)

    def _deliver(self):
        if self.ended:
            return
        if not self._reaches():
            self._later()
            return
        records = self.log.records(self.stream, self.offset)
        oldest = self.log.oldest.get(self.stream, 0)
        head = self.log.head(self.stream)
        self.offset = head
        self.tell(messages.RecordsRead(self.stream, records, oldest, head))
        self.poll()
