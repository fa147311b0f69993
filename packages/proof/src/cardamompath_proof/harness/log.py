"""A fake of the platform's log and its instance list."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from cardamompath_proof.harness import events
from cardamompath_proof.harness import network
from cardamompathd import messages
from cardamompathd.platform import errors
from cardamompathd.platform import reader

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
        self.keep = 0
        """Records that each stream keeps; 0 keeps all."""
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
        if not self.up or not self.net.linked(place, network.PLATFORM):
            error = errors.LogUnavailable("log is down")
            self.queue.after(TIMEOUT, lambda: done(error))
            return
        delay = self.net.delay(place, network.PLATFORM)
        self.queue.after(
            delay + self.slowness / 2,
            lambda: self._take(place, stream, records, done),
        )

    def _take(self, place, stream, records, done):
        if not self.up or self._is_over_rate():
            self._answer(place, errors.LogUnavailable("refused"), done)
            return
        kept = self.streams.setdefault(stream, [])
        first = len(kept)
        kept.extend(records)
        if self.keep:
            self.oldest[stream] = max(0, len(kept) - self.keep)
        waiting, self.waiting = self.waiting, []
        for wake in waiting:
            wake()
        if self.lose_answers:
            self.lose_answers -= 1
            error = errors.AppendUnknown("answer lost")
            self.queue.after(TIMEOUT, lambda: done(error))
            return
        self._answer(place, first, done)

    def _is_over_rate(self):
        now = self.queue.now
        self.appends = [one for one in self.appends if one > now - 1.0]
        self.appends.append(now)
        return 0 < self.rate < len(self.appends)

    def _answer(self, place, answer, done):
        delay = self.slowness / 2 + self.net.delay(place, network.PLATFORM)
        if delay >= TIMEOUT or not self.net.linked(place, network.PLATFORM):
            answer = errors.AppendUnknown("no answer in time")
            delay = TIMEOUT
        self.queue.after(delay, lambda: done(answer))


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
    """

    def __init__(self, log, place, stream, tell, rng: random.Random):
        self.log = log
        self.place = place
        self.stream = stream
        self.tell = tell
        self.rng = rng
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
        self.log.queue.after(reader.WAIT, lambda: self._wake(waited))

    def hang(self) -> None:
        """Let the poll in progress go silent until it is given up."""
        self.poll_id += 1
        wait = reader.WAIT + TIMEOUT
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
        delay = reader.BACK_OFF * self.rng.uniform(0.5, 1.5)
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
