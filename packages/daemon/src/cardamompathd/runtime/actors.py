"""Actors that run controllers, and the table that routes messages."""

from __future__ import annotations

import collections
import heapq
import itertools
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import loguru
import pykka

from cardamompathd import messages
from cardamompathd.runtime import inboxes

__all__ = [
    "ControllerActor",
    "Deliver",
    "make_router",
    "make_tell",
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
        tell = table.get(send.to)
        if tell is None:
            kind = type(send.msg).__name__
            loguru.logger.error("actor: no task {!r} for {}", send.to, kind)
            return
        tell(send.msg)

    return deliver


def make_tell(ref: pykka.ActorRef, name: str) -> Callable[[Any], None]:
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
    next message from outside is taken.  The actor keeps the timers that
    its controllers set.

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
        self._receive[messages.TIMERS] = self._set_timer
        self._deliver = deliver
        self._clock = clock
        self._timers: list[tuple[float, int, messages.SetTimer]] = []
        self._order = itertools.count()

    @staticmethod
    def _create_actor_inbox():
        return inboxes.TimedInbox()

    def on_receive(
        self, message: messages.Send | inboxes.DeadlineReached
    ) -> None:
        """Run the controller that the message is for, or due timers."""
        now = self._clock()
        if isinstance(message, inboxes.DeadlineReached):
            self._fire(now)
        else:
            self._process(message, now)
        due = self._timers[0][0] if self._timers else None
        self.actor_inbox.set_deadline(due, self._clock)

    def _process(self, message, now):
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

    def _set_timer(self, msg, now):
        entry = (msg.at, next(self._order), msg)
        heapq.heappush(self._timers, entry)
        return ()

    def _fire(self, now):
        while self._timers and self._timers[0][0] <= now:
            msg = heapq.heappop(self._timers)[2]
            fired = messages.TimerFired(msg.key)
            self._process(messages.Send(msg.to, fired), now)
