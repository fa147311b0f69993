"""Earliest times of arrival of requests, and the watch of their callers."""

import math
import socket
import unittest

from cardamompathd import messages
from cardamompathd import pool_messages
from cardamompathd.callers import arrivals
from cardamompathd.callers import server
from cardamompathd.callers import watch
from cardamompathd.filters import chain


class FakeConnection:
    def __init__(self, empty_at):
        self.empty_at = empty_at
        self.registered_at = math.inf


class ArrivalClockTest(unittest.TestCase):
    """The listener selects connections, and is paused in between."""

    def setUp(self):
        self.listener = object()
        self.arrivals = arrivals.ArrivalClock(self.listener, 10.0)
        self.conn = FakeConnection(10.0)

    def register(self, now):
        self.arrivals.register(self.conn, lambda _: None, lambda: now)

    def select(self, began_at, *selected):
        waited = 0.0 if selected else 0.1
        self.arrivals.note_selected(selected, began_at, waited)

    def test_request_is_as_old_as_the_last_empty_selection(self):
        self.register(11.0)
        self.select(11.5)
        self.select(11.6)
        # The process was paused for 4 s before or while it selected.
        self.select(15.6, self.conn)
        self.assertAlmostEqual(self.conn.empty_at, 11.7)

    def test_request_read_at_once_is_new(self):
        self.register(11.0)
        self.select(11.5)
        self.select(11.6, self.conn)
        self.assertAlmostEqual(self.conn.empty_at, 11.6)

    def test_selection_before_it_was_registered_says_nothing(self):
        self.select(11.5)
        self.register(15.0)
        self.select(11.6, self.conn)
        self.assertEqual(self.conn.empty_at, 10.0)

    def test_connection_waited_since_none_was_left_to_accept(self):
        self.select(11.5)
        self.select(11.6)
        self.select(15.6, self.listener)
        self.assertAlmostEqual(self.arrivals.accepted_after, 11.7)
        # Others wait behind the first one.
        self.select(15.7, self.listener)
        self.assertAlmostEqual(self.arrivals.accepted_after, 11.7)
        self.select(15.8)
        self.select(16.0, self.listener)
        self.assertAlmostEqual(self.arrivals.accepted_after, 15.9)


class ListenerTest(unittest.TestCase):
    """Requests over sockets, by a clock that jumps while one waits."""

    def setUp(self):
        self.now = 100.0
        self.arrived = []
        limits = server.ListenerLimits(threads=2)
        self.listener = server.start(
            "test", ("127.0.0.1", 0), self.handle, limits, lambda: self.now
        )
        self.addCleanup(self.listener.stop)

    def handle(self, req):
        self.arrived.append(req.arrived_at)
        return chain.Response(200, {})

    def send(self, sock):
        sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        received = b""
        while not received.endswith(b"{}"):
            received += sock.recv(4096)
        self.assertIn(b"200", received)

    def test_no_request_is_younger_than_its_channel_was_empty(self):
        address = (self.listener.host, self.listener.port)
        with socket.create_connection(address) as sock:
            self.send(sock)
            self.assertLessEqual(self.arrived[0], 100.0)
            self.now = 200.0
            self.send(sock)
            self.assertGreaterEqual(self.arrived[1], 100.0)
            self.assertLessEqual(self.arrived[1], 200.0)


class WatchTest(unittest.TestCase):
    def setUp(self):
        self.receive = watch.make_controller().receive
        self.left = set()

    def watch(self, name):
        msg = pool_messages.WatchCaller(name, lambda: name in self.left)
        return self.receive(msg, 10.0)

    def check(self, now):
        sent = self.receive(messages.TimerFired("check"), now)
        return [send.msg for send in sent if send.to == pool_messages.GATEWAY]

    def test_caller_that_has_left_is_withdrawn(self):
        self.watch("r1")
        self.watch("r2")
        self.left.add("r1")
        withdrawn = pool_messages.WithdrawBatch("r1")
        checked = pool_messages.CallersChecked(10.1, ("r2",))
        self.assertEqual(self.check(10.1), [withdrawn, checked])

    def test_callers_are_not_looked_at_once_they_are_answered(self):
        self.assertEqual(len(self.watch("r1")), 1)
        self.assertEqual(len(self.watch("r2")), 0)
        self.receive(pool_messages.UnwatchCaller("r1"), 10.0)
        self.receive(pool_messages.UnwatchCaller("r2"), 10.0)
        sent = self.receive(messages.TimerFired("check"), 10.1)
        self.assertEqual([send.to for send in sent], [pool_messages.GATEWAY])


if __name__ == "__main__":
    unittest.main()
