"""Actor inboxes that also wait for a due time, and for sockets.

An actor with a `SelectorInbox` owns its sockets: it registers them
there and gets `Readable` and `Due` like any other message.
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
    """A registered socket has something to read, or was closed."""

    key: Any


class Writable(NamedTuple):
    """A registered socket takes bytes, or failed to connect."""

    key: Any


class DeadlineReached(NamedTuple):
    """The time that was asked for has come."""


class TimedInbox:
    """A queue of messages that gives `Due` at a time that was set.

    Any task may put; only the actor that owns the inbox uses the rest.
    """

    def __init__(self):
        self._messages: queue.SimpleQueue = queue.SimpleQueue()
        self._due: float | None = None
        self._clock: Callable[[], float] | None = None

    def put(self, envelope: Any, /) -> None:
        """Add a message."""
        self._messages.put(envelope)

    def get(self) -> Any:
        """Wait for the next message or the due time."""
        timeout = None
        if self._due is not None:
            timeout = self._due - self._clock()
        if timeout is None or timeout > 0.0:
            with contextlib.suppress(queue.Empty):
                return self._messages.get(timeout=timeout)
        self._due = None
        return _envelope.Envelope(DeadlineReached())

    def empty(self) -> bool:
        """Return whether no message is left."""
        return self._messages.empty()

    def set_deadline(
        self, at: float | None, clock: Callable[[], float]
    ) -> None:
        """Ask for `Due` at a time of `clock`; None takes it back."""
        self._due = at
        self._clock = clock


class SelectorInbox:
    """A queue of messages and registered sockets.

    Any task may put; only the actor that owns the inbox uses the rest.
    """

    def __init__(self):
        self._messages: collections.deque = collections.deque()
        self._ready: collections.deque = collections.deque()
        self._selector = selectors.DefaultSelector()
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        self._selector.register(self._wake_in, selectors.EVENT_READ)
        self._asleep = False
        self._due: float | None = None
        self._clock: Callable[[], float] | None = None

    def put(self, envelope: Any, /) -> None:
        """Add a message and wake the owner if it sleeps."""
        self._messages.append(envelope)
        if self._asleep:
            self._wake()

    def get(self) -> Any:
        """Wait for the next message, readable socket or due time."""
        while True:
            if self._is_due():
                self._due = None
                return _envelope.Envelope(DeadlineReached())
            if self._messages:
                return self._messages.popleft()
            if self._ready:
                return _envelope.Envelope(self._ready.popleft())
            self._sleep()

    def empty(self) -> bool:
        """Return whether no message is left."""
        return not self._messages

    def set_deadline(
        self, at: float | None, clock: Callable[[], float]
    ) -> None:
        """Ask for `Due` at a time of `clock`; None takes it back."""
        self._due = at
        self._clock = clock

    def register(self, sock: socket.socket, key: Any) -> None:
        """Wait for a socket to become readable."""
        self._selector.register(sock, selectors.EVENT_READ, key)

    def watch_writable(
        self, sock: socket.socket, key: Any, wanted: bool
    ) -> None:
        """Wait for a registered socket to take bytes, or no longer."""
        events = selectors.EVENT_READ
        if wanted:
            events |= selectors.EVENT_WRITE
        self._selector.modify(sock, events, key)

    def unregister(self, sock: socket.socket) -> None:
        """Wait for a socket no longer."""
        self._selector.unregister(sock)

    def close(self) -> None:
        """Close what the inbox itself opened."""
        self._selector.close()
        self._wake_in.close()
        self._wake_out.close()

    def _wake(self):
        # A full buffer wakes the owner as well; a closed one has none.
        with contextlib.suppress(OSError):
            self._wake_out.send(b"\0")

    def _is_due(self):
        return self._due is not None and self._clock() >= self._due

    def _sleep(self):
        timeout = None
        if self._due is not None:
            timeout = max(0.0, self._due - self._clock())
        self._asleep = True
        # A message put before the flag was seen must not be slept over.
        if self._messages:
            timeout = 0.0
        events = self._selector.select(timeout)
        self._asleep = False
        for selected, mask in events:
            if selected.fileobj is self._wake_in:
                self._drain()
                continue
            if mask & selectors.EVENT_WRITE:
                self._ready.append(Writable(selected.data))
            if mask & selectors.EVENT_READ:
                self._ready.append(Readable(selected.data))

    def _drain(self):
        with contextlib.suppress(BlockingIOError):
            self._wake_in.recv(4096)
