"""Actors that run controllers, and their timers."""

import queue
import unittest

from cardamompathd import messages
from cardamompathd.runtime import actors
from cardamompathd.runtime import inboxes

WAIT = 10.0
"""Seconds to wait for a message."""


class TimersTest(unittest.TestCase):
    def test_periodic_timer_goes_on_after_a_failure(self):
        # The handler of a planner that failed once never ran again.
        self.now = 100.0
        fired_at = queue.SimpleQueue()

        def receive(msg, now):
            fired_at.put((msg.key, now))
            if now < 101.0:
                raise OverflowError("unexpected")
            due = messages.SetTimer(now + 0.05, "periodic", "tick")
            return [messages.Send(messages.TIMERS, due)]

        ref = actors.ControllerActor.start(
            [messages.Controller("periodic", receive)],
            fired_at.put,
            lambda: self.now,
        )
        self.addCleanup(ref.stop)
        fired = messages.TimerFired("tick")
        ref.tell(messages.Send("periodic", fired))
        for _ in range(4):
            self.assertEqual(fired_at.get(timeout=WAIT), ("tick", self.now))
            self.now += actors.TIMER_RETRY_DELAY
            ref.tell(inboxes.DeadlineReached())
