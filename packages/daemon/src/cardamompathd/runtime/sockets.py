"""Actors that run controllers and own sockets on the same thread."""

from __future__ import annotations

import collections
import socket
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import loguru

from cardamompathd import messages
from cardamompathd.runtime import actors
from cardamompathd.runtime import inboxes

__all__ = [
    "MakeOwner",
    "SocketActor",
    "SocketOwner",
    "SocketRegistry",
]


class SocketRegistry:
    """Registers the sockets of one owner with the inbox of its actor.

    Parameters
    ----------
    inbox : SelectorInbox
        Reports the events of the sockets.
    name : str
        Name of the owner, which gets the events.
    """

    def __init__(self, inbox: inboxes.SelectorInbox, name: str):
        self._inbox = inbox
        self._name = name
        self._writable_keys: set[Any] = set()

    def register(
        self, sock: socket.socket, key: Any, writable: bool = False
    ) -> None:
        """Start to report when a socket is readable, or also writable."""
        self._inbox.register(sock, (self._name, key), writable)
        if writable:
            self._writable_keys.add(key)

    def watch_writable(
        self, sock: socket.socket, key: Any, enabled: bool
    ) -> None:
        """Start or stop to report when a registered socket is writable."""
        if enabled == (key in self._writable_keys):
            return
        self._inbox.watch_writable(sock, (self._name, key), enabled)
        if enabled:
            self._writable_keys.add(key)
        else:
            self._writable_keys.discard(key)

    def unregister(self, sock: socket.socket, key: Any) -> None:
        """Stop to report the events of a socket."""
        self._writable_keys.discard(key)
        self._inbox.unregister(sock)


class SocketOwner(NamedTuple):
    """The functions through which an actor runs the sockets of one part."""

    name: str
    """Address of the messages to it."""
    receive: Callable[[Any, float], None]
    """Handles a message."""
    read: Callable[[Any, float], None]
    """Handles a readable socket, by its key."""
    write: Callable[[Any, float], None]
    """Handles a writable socket, by its key."""
    check: Callable[[float], None]
    """Handles what is due."""
    next_check: Callable[[], float | None]
    """Returns when `check` is due; None if nothing waits."""
    close: Callable[[], None]
    """Closes the sockets."""


MakeOwner = Callable[
    [Callable[[str], SocketRegistry], actors.Deliver], SocketOwner
]
"""Takes the function that makes a registry by name, and the function that
delivers a message to a task; returns the owner."""


class SocketActor(actors.ControllerActor):
    """Runs controllers, and owns the sockets of one or more parts.

    The messages between them are handled on one thread, in order, before
    the next message of another task or the next event of a socket.

    Parameters
    ----------
    controllers : sequence of Controller
        Controllers that this actor owns.
    deliver : callable
        Called with each `Send` to a task outside this actor.
    clock : callable
        Returns the current time in seconds.
    make_owners : sequence of callable
        Make the owners of the sockets.
    """

    def __init__(
        self,
        controllers: Sequence[messages.Controller],
        deliver: actors.Deliver,
        clock: Callable[[], float],
        make_owners: Sequence[MakeOwner],
    ):
        super().__init__(controllers, deliver, clock)
        self._outbox: collections.deque[messages.Send] = collections.deque()
        owners = [
            make_owner(self._make_registry, self._outbox.append)
            for make_owner in make_owners
        ]
        self._owners = {owner.name: owner for owner in owners}
        for owner in owners:
            self._receivers[owner.name] = _make_receiver(owner)

    @staticmethod
    def _create_actor_inbox():
        return inboxes.SelectorInbox()

    def on_stop(self) -> None:
        """Close every socket."""
        for owner in self._owners.values():
            owner.close()
        self.actor_inbox.close()

    def _make_registry(self, name):
        return SocketRegistry(self.actor_inbox, name)

    def _handle(self, message, now):
        if isinstance(message, inboxes.Readable):
            name, key = message.key
            self._guard(self._owners[name].read, key, now)
        elif isinstance(message, inboxes.Writable):
            name, key = message.key
            self._guard(self._owners[name].write, key, now)
        else:
            super()._handle(message, now)
        for owner in self._owners.values():
            due = owner.next_check()
            if due is not None and due <= now:
                self._guard(owner.check, now)
        self._process_outbox(now)

    def _process(self, message, now):
        super()._process(message, now)
        self._process_outbox(now)

    def _process_outbox(self, now):
        while self._outbox:
            super()._process(self._outbox.popleft(), now)

    def _guard(self, function, *args):
        """Call a function; an error in it concerns one event only."""
        try:
            function(*args)
        except Exception:
            loguru.logger.exception("actor: a socket event failed")

    def _next_deadline(self):
        dues = [owner.next_check() for owner in self._owners.values()]
        dues.append(super()._next_deadline())
        return min((due for due in dues if due is not None), default=None)


def _make_receiver(owner):
    def receive(msg, now):
        owner.receive(msg, now)
        return ()

    return receive
