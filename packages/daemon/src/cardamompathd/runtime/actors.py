"""Actors that run controllers, and the table that routes messages."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import loguru
import pykka

from cardamompathd import messages

__all__ = [
    "ControllerActor",
    "Deliver",
    "make_router",
    "make_teller",
]

Deliver = Callable[[messages.Send], None]


def make_router(table: Mapping[str, Callable[[Any], None]]) -> Deliver:
    """Make the function that hands each message to its task.

    Parameters
    ----------
    table : mapping
        From the name of a task to the function that tells it a message.
        Entries may be added until the first message.
    """

    def deliver(send: messages.Send) -> None:
        table[send.to](send.msg)

    return deliver


def make_teller(ref: pykka.ActorRef, name: str) -> Callable[[Any], None]:
    """Make the function that tells a controller of an actor a message.

    Messages for an actor that has ended are left out.
    """

    def tell(msg: Any) -> None:
        try:
            ref.tell(messages.Send(name, msg))
        except pykka.ActorDeadError:
            loguru.logger.debug("actor: {} has ended", name)

    return tell


class ControllerActor(pykka.ThreadingActor):
    """Owns one or more controllers and runs them on one thread.

    Messages among its own controllers are delivered in order before the
    next message from outside is taken.

    Parameters
    ----------
    controllers : sequence of Controller
        The controllers that this actor owns.
    deliver : callable
        Called with each `Send` for a task elsewhere.
    clock : callable
        Returns the present time in seconds.
    """

    use_daemon_thread = True

    def __init__(
        self,
        controllers: Sequence[messages.Controller],
        deliver: Deliver,
        clock: Callable[[], float],
    ):
        super().__init__()
        self._receive = {one.name: one.receive for one in controllers}
        self._deliver = deliver
        self._clock = clock

    def on_receive(self, message: messages.Send) -> None:
        """Run the controller that the message is for."""
        now = self._clock()
        pending = collections.deque([message])
        while pending:
            send = pending.popleft()
            receive = self._receive.get(send.to)
            if receive is None:
                self._deliver(send)
                continue
            pending.extend(self._run(receive, send, now))

    def _run(self, receive, send, now):
        try:
            return receive(send.msg, now)
        except Exception:
            kind = type(send.msg).__name__
            loguru.logger.exception("actor: {} failed on {}", send.to, kind)
            return ()
