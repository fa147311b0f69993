"""Connections that one task owns, over real sockets.

A wrong reuse of a connection would give a call the answer to another one.
"""

import functools
import queue
import socket
import unittest
from typing import Any
from typing import NamedTuple

from cardamompathd import messages
from cardamompathd.backends import call_connections
from cardamompathd.backends import connections
from cardamompathd.runtime import inboxes
from cardamompathd.runtime import sockets
from cardamompathd.tests import test_connections

ANSWER = test_connections.ANSWER
TIMEOUT = test_connections.TIMEOUT


class Call(NamedTuple):
    backend: tuple
    number: int
    request: bytes
    timeout: float = 5.0
    start_by: float = 1e9


class CallConnectionsTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.server = test_connections.Server()
        self.addCleanup(self.server.listener.close)
        self.answers = queue.SimpleQueue()
        self.actor = sockets.SocketActor.start(
            [], self.answers.put, lambda: self.now, [self.make_owner]
        )
        self.addCleanup(self.actor.stop)

    def make_owner(self, make_registry, _):
        limits = connections.ConnectionLimits(connect=2.0, idle=30.0)
        calls = call_connections.CallConnections(
            limits,
            make_registry("calls"),
            lambda call, answer: self.answers.put((call.number, answer)),
        )
        return call_connections.make_owner(
            "calls", calls, functools.partial(self.receive, calls)
        )

    def receive(self, calls, msg, now):
        if msg is None:
            raise ValueError("unexpected")
        calls.send(msg, now)

    def tell(self, msg: Any):
        self.actor.tell(messages.Send("calls", msg))

    def send(self, number, host="127.0.0.1", **fields):
        backend = ("x-1", host, self.server.port)
        request = b"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n%d" % number
        self.tell(Call(backend, number, request, **fields))

    def next_answer(self):
        return self.answers.get(timeout=TIMEOUT)

    def advance(self, seconds):
        self.now += seconds
        # Any message makes the actor check the deadlines.
        self.actor.tell(inboxes.DeadlineReached())

    def test_connection_is_reused(self):
        for number in range(3):
            self.send(number)
            if number == 0:
                conn, raw = self.server.accept()
            else:
                raw = conn.recv(65536)
            self.assertTrue(raw.endswith(b"%d" % number))
            conn.sendall(ANSWER % (1, b"%d" % number))
            answered, answer = self.next_answer()
            self.assertEqual((answered, answer.phase), (number, "done"))
            self.assertEqual(answer.payload, b"%d" % number)
        self.assertTrue(self.server.accepted.empty())

    def test_answer_in_pieces_is_complete(self):
        self.send(0)
        conn, _ = self.server.accept()
        for piece in (b"HTTP/1.1 409 Conflict\r\nConte", b"nt-Length: 4\r\n"):
            conn.sendall(piece)
        conn.sendall(b"\r\nab")
        conn.sendall(b"cd")
        answer = self.next_answer()[1]
        self.assertEqual((answer.status, answer.payload), (409, b"abcd"))

    def test_late_answer_is_not_taken_for_that_of_another_call(self):
        self.send(0)
        timed_out, _ = self.server.accept()
        self.advance(5.0)
        self.assertEqual(self.next_answer()[1].phase, "answer")
        self.send(1)
        conn, _ = self.server.accept()
        self.assertEqual(timed_out.recv(1), b"")
        conn.sendall(ANSWER % (3, b"own"))
        number, answer = self.next_answer()
        self.assertEqual((number, answer.payload), (1, b"own"))

    def test_timeout_closes_the_free_connections_too(self):
        self.send(0)
        self.send(1)
        first, _ = self.server.accept()
        second, _ = self.server.accept()
        first.sendall(ANSWER % (1, b"a"))
        self.next_answer()
        self.advance(5.0)
        self.assertEqual(self.next_answer()[1].error, "timed out")
        for conn in (first, second):
            self.assertEqual(conn.recv(1), b"")

    def test_second_response_closes_the_connection(self):
        self.send(0)
        conn, _ = self.server.accept()
        conn.sendall(ANSWER % (1, b"a") + ANSWER % (1, b"b"))
        self.assertEqual(self.next_answer()[1].payload, b"a")
        self.assertEqual(conn.recv(1), b"")

    def test_failures_of_a_response(self):
        cases = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\n\r\nmaybe whole",
            b"\x00\xff not HTTP",
            b"",
        )
        for number, raw in enumerate(cases):
            with self.subTest(raw=raw):
                self.send(number)
                conn, _ = self.server.accept()
                conn.sendall(raw)
                conn.close()
                answered, answer = self.next_answer()
                self.assertEqual((answered, answer.phase), (number, "answer"))

    def test_upgrade_fails_the_call_at_once(self):
        # The parser raised an error that was not expected.
        self.send(0)
        conn, _ = self.server.accept()
        conn.sendall(
            b"HTTP/1.1 101 -\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"
        )
        answered, answer = self.next_answer()
        self.assertEqual((answered, answer.phase), (0, "answer"))
        self.assertEqual(conn.recv(1), b"")

    def test_refused_connection_fails_in_the_connect_phase(self):
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            self.server.port = bound.getsockname()[1]
            self.send(0)
            self.assertEqual(self.next_answer()[1].phase, "connect")

    def test_invalid_address_fails_in_the_connect_phase(self):
        # Such a call got no answer, and its caller waited for good.
        port = self.server.port
        invalid = (("127.0.0.1", 70000), ("127.0.0.1", -1), ("a\0", port))
        for number, (host, self.server.port) in enumerate(invalid):
            self.send(number, host)
            answered, answer = self.next_answer()
            self.assertEqual((answered, answer.phase), (number, "connect"))
        self.server.port = port
        self.send(7)
        self.server.accept()[0].sendall(ANSWER % (1, b"a"))
        self.assertEqual(self.next_answer()[1].phase, "done")

    def test_call_is_not_sent_after_its_time(self):
        self.send(0, start_by=100.0)
        self.assertEqual(self.next_answer()[1].phase, "connect")

    def test_error_in_one_call_leaves_the_others(self):
        self.tell(None)
        self.send(0)
        conn, _ = self.server.accept()
        conn.sendall(ANSWER % (1, b"a"))
        self.assertEqual(self.next_answer()[1].phase, "done")


class InboxOrderTest(unittest.TestCase):
    """What has arrived is handled before the deadline, however late."""

    def check_order(self, inbox):
        inbox.set_deadline(1.0, lambda: 9.0)
        for number in range(3):
            inbox.put(number)
        seen = [inbox.get() for _ in range(3)]
        self.assertEqual(seen, [0, 1, 2])
        self.assertIsInstance(inbox.get().message, inboxes.DeadlineReached)

    def test_messages_come_before_a_missed_deadline(self):
        self.check_order(inboxes.TimedInbox())
        inbox = inboxes.SelectorInbox()
        self.addCleanup(inbox.close)
        self.check_order(inbox)

    def test_socket_events_come_before_a_missed_deadline(self):
        inbox = inboxes.SelectorInbox()
        self.addCleanup(inbox.close)
        receiver, sender = socket.socketpair()
        self.addCleanup(receiver.close)
        self.addCleanup(sender.close)
        inbox.register(receiver, "link")
        sender.sendall(b"x")
        inbox.set_deadline(1.0, lambda: 9.0)
        self.assertEqual(inbox.get().message, inboxes.Readable("link"))
        receiver.recv(1)
        self.assertIsInstance(inbox.get().message, inboxes.DeadlineReached)

    def test_deadline_is_not_put_off_by_later_messages(self):
        inbox = inboxes.TimedInbox()
        inbox.set_deadline(1.0, lambda: 9.0)
        inbox.put(0)
        inbox.get()
        inbox.put(1)
        self.assertIsInstance(inbox.get().message, inboxes.DeadlineReached)
