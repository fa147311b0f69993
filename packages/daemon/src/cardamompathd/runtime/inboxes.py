"""Actor inboxes that also wait for a deadline and for sockets.

An actor with a `SelectorInbox` owns its sockets: it registers them with
the inbox and receives `Readable`, `Writable` and `DeadlineReached` like
any other message.
"""

from __future__ import annotations

import collections
import contextlib
import queue
import selectors
import socket
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from pykka import _envelope

__all__ = [
    "DeadlineReached",
    "Readable",
    "SelectorInbox",
    "TimedInbox",
    "Writable",
]


class Readable(NamedTuple):
    """A registered socket has data to read or was closed by the peer."""

    key: Any


class Writable(NamedTuple):
    """A registered socket can be written to or failed to connect."""

    key: Any


class DeadlineReached(NamedTuple):
    """The deadline that the actor set was reached."""


class TimedInbox:
    """A queue of messages with a deadline.

    Any thread may call `put`; the other methods are for the actor that
    owns the inbox.  Messages that arrived before the deadline was noticed
    come before it: an actor that was late must not take what it has not
    read yet for missing.
    """

    def __init__(self):
        self._messages: queue.SimpleQueue = queue.SimpleQueue()
        self._deadline: float | None = None
        self._before_deadline: int | None = None
        """Number of messages that are returned before the deadline."""
        self._clock: Callable[[], float] | None = None

    def put(self, envelope: Any, /) -> None:
        """Add a message to the queue."""
        self._messages.put(envelope)

    def get(self) -> Any:
        """Wait for the next message or the deadline and return it."""
        timeout = None
        if self._deadline is not None:
            timeout = self._deadline - self._clock()
        if timeout is None or timeout > 0.0:
            with contextlib.suppress(queue.Empty):
                return self._messages.get(timeout=timeout)
        if self._before_deadline is None:
            self._before_deadline = self._messages.qsize()
        if self._before_deadline > 0:
            self._before_deadline -= 1
            return self._messages.get()
        self._before_deadline = None
        self._deadline = None
        return _envelope.Envelope(DeadlineReached())

    def empty(self) -> bool:
        """Return whether the queue is empty."""
        return self._messages.empty()

    def set_deadline(
        self, at: float | None, clock: Callable[[], float]
    ) -> None:
        """Set the deadline, a time of `clock`; None removes it."""
        self._deadline = at
        self._clock = clock


class SelectorInbox:
    """A queue of messages with a deadline and registered sockets.

    Any thread may call `put`; the other methods are for the actor that
    owns the inbox.  As in `TimedInbox`, what arrived before the deadline
    was noticed comes before it.
    """

    def __init__(self):
        self._messages: collections.deque = collections.deque()
        self._ready: collections.deque = collections.deque()
        self._selector = selectors.DefaultSelector()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._is_selecting = False
        self._deadline: float | None = None
        self._before_deadline: int | None = None
        """Number of messages and events that are returned before the
        deadline."""
        self._clock: Callable[[], float] | None = None

    def put(self, envelope: Any, /) -> None:
        """Add a message to the queue and wake the owner if it waits."""
        self._messages.append(envelope)
        if self._is_selecting:
            self._wake()

    def get(self) -> Any:
        """Wait for the next message, socket event or the deadline."""
        while True:
            if self._is_deadline_reached():
                if self._before_deadline is None:
                    self._select(0.0)
                    self._before_deadline = len(self._messages) + len(
                        self._ready
                    )
                if self._before_deadline == 0:
                    self._before_deadline = None
                    self._deadline = None
                    return _envelope.Envelope(DeadlineReached())
                self._before_deadline -= 1
            if self._messages:
                return self._messages.popleft()
            if self._ready:
                return _envelope.Envelope(self._ready.popleft())
            self._select()

    def empty(self) -> bool:
        """Return whether the queue is empty."""
        return not self._messages

    def set_deadline(
        self, at: float | None, clock: Callable[[], float]
    ) -> None:
        """Set the deadline, a time of `clock`; None removes it."""
        self._deadline = at
        self._clock = clock

    def register(
        self, sock: socket.socket, key: Any, writable: bool = False
    ) -> None:
        """Start to report when a socket is readable, or also writable."""
        self._selector.register(sock, _event_mask(writable), key)

    def watch_writable(
        self, sock: socket.socket, key: Any, enabled: bool
    ) -> None:
        """Start or stop to report when a registered socket is writable."""
        self._selector.modify(sock, _event_mask(enabled), key)

    def unregister(self, sock: socket.socket) -> None:
        """Stop to report the events of a socket."""
        self._selector.unregister(sock)

    def close(self) -> None:
        """Close the selector and the sockets of the inbox itself."""
        self._selector.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def _wake(self):
        # A full buffer means that a wake-up is pending; after `close` no
        # owner is left to wake.
        with contextlib.suppress(OSError):
            self._wake_sender.send(b"\0")

    def _is_deadline_reached(self):
        return self._deadline is not None and self._clock() >= self._deadline

    def _select(self, timeout=None):
        if timeout is None and self._deadline is not None:
            timeout = max(0.0, self._deadline - self._clock())
        self._is_selecting = True
        # A message that was put before the flag was set caused no wake-up.
        if self._messages:
            timeout = 0.0
        events = self._selector.select(timeout)
        self._is_selecting = False
        for selected, mask in events:
            if selected.fileobj is self._wake_receiver:
                self._drain_wake_ups()
                continue
            if mask & selectors.EVENT_WRITE:
                self._ready.append(Writable(selected.data))
            if mask & selectors.EVENT_READ:
                self._ready.append(Readable(selected.data))

    def _drain_wake_ups(self):
        with contextlib.suppress(BlockingIOError):
            self._wake_receiver.recv(4096)


def _event_mask(writable):
    if writable:
        return selectors.EVENT_READ | selectors.EVENT_WRITE
    return selectors.EVENT_READ
