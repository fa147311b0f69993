"""Actors that run controllers, and the routing of messages to tasks."""

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

TIMER_RETRY_DELAY = 0.5
"""Seconds after which a timer fires again if its controller failed on it.
A periodic timer is set again by its own handler, so that a single failure
would otherwise end it."""


def make_router(receivers: Mapping[str, Callable[[Any], None]]) -> Deliver:
    """Make the function that delivers each message to its task.

    Parameters
    ----------
    receivers : mapping
        Functions that receive the messages of a task, by its address.
        Entries may be added until the first message is delivered.
    """

    def deliver(send: messages.Send) -> None:
        receive = receivers.get(send.to)
        if receive is None:
            msg_type = type(send.msg).__name__
            loguru.logger.error(
                "actor: no task {!r} for {}", send.to, msg_type
            )
            return
        receive(send.msg)

    return deliver


def make_tell(ref: pykka.ActorRef, name: str) -> Callable[[Any], None]:
    """Make the function that sends a message to a controller of an actor.

    Messages for an actor that has stopped are dropped.
    """

    def tell(msg: Any) -> None:
        try:
            ref.tell(messages.Send(name, msg))
        except pykka.ActorDeadError:
            loguru.logger.debug("actor: {} has stopped", name)

    return tell


class ControllerActor(pykka.ThreadingActor):
    """An actor that owns one or more controllers and runs them on one thread.

    Messages between its own controllers are delivered in order before the
    next message from another task is processed.  The actor also fires the
    timers that its controllers set.

    Parameters
    ----------
    controllers : sequence of Controller
        Controllers that this actor owns.
    deliver : callable
        Called with each `Send` to a task outside this actor.
    clock : callable
        Returns the current time in seconds.
    """

    use_daemon_thread = True

    def __init__(
        self,
        controllers: Sequence[messages.Controller],
        deliver: Deliver,
        clock: Callable[[], float],
    ):
        super().__init__()
        self._receivers = {
            controller.name: controller.receive for controller in controllers
        }
        self._receivers[messages.TIMERS] = self._set_timer
        self._deliver = deliver
        self._clock = clock
        self._timers: list[tuple[float, int, messages.SetTimer]] = []
        self._timer_numbers = itertools.count()

    @staticmethod
    def _create_actor_inbox():
        return inboxes.TimedInbox()

    def on_receive(
        self, message: messages.Send | inboxes.DeadlineReached
    ) -> None:
        """Run the controller that a message is for, or the due timers."""
        now = self._clock()
        self._handle(message, now)
        self.actor_inbox.set_deadline(self._next_deadline(), self._clock)

    def _handle(self, message, now):
        if isinstance(message, inboxes.DeadlineReached):
            self._fire_timers(now)
        else:
            self._process(message, now)

    def _next_deadline(self):
        return self._timers[0][0] if self._timers else None

    def _process(self, message, now):
        pending = collections.deque([message])
        while pending:
            send = pending.popleft()
            receive = self._receivers.get(send.to)
            pending.extend(self._run(receive, send, now))

    def _run(self, receive, send, now):
        try:
            if receive is None:
                self._deliver(send)
                return ()
            return receive(send.msg, now)
        except Exception:
            msg_type = type(send.msg).__name__
            loguru.logger.exception(
                "actor: {} failed on {}", send.to, msg_type
            )
            if isinstance(send.msg, messages.TimerFired):
                at = now + TIMER_RETRY_DELAY
                timer = messages.SetTimer(at, send.to, send.msg.key)
                self._set_timer(timer, now)
            return ()

    def _set_timer(self, msg, now):
        entry = (msg.at, next(self._timer_numbers), msg)
        heapq.heappush(self._timers, entry)
        return ()

    def _fire_timers(self, now):
        while self._timers and self._timers[0][0] <= now:
            msg = heapq.heappop(self._timers)[2]
            fired = messages.TimerFired(msg.key)
            self._process(messages.Send(msg.to, fired), now)
