"""The actor that owns the connections to a backend server.

The tests use real sockets: a wrong reuse of a connection would give a task
the answer to another one.
"""

import queue
import socket
import threading
import unittest

from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.backends import connections
from cardamompathd.runtime import inboxes

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
TIMEOUT = 10.0


class Server:
    """A server that hands each accepted connection to the test."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.accepted = queue.SimpleQueue()
        threading.Thread(target=self._accept_all, daemon=True).start()

    def _accept_all(self):
        while True:
            try:
                self.accepted.put(self.listener.accept()[0])
            except OSError:
                return

    def accept(self):
        """Return the next connection and the first bytes received on it."""
        conn = self.accepted.get(timeout=TIMEOUT)
        return conn, conn.recv(65536)


class BackendActorTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.server = Server()
        self.addCleanup(self.server.listener.close)
        self.attempts = queue.SimpleQueue()
        limits = connections.ConnectionLimits(connect=2.0, idle=30.0)
        self.actor = connections.start(
            limits, self.attempts.put, lambda: self.now
        )
        self.addCleanup(self.actor.stop)

    def start_task(self, index, timeout=5.0):
        spec = types.BackendSpec(
            "e-1", "booking", "pocitos", "127.0.0.1", self.server.port
        )
        task = types.TaskRef("job", index)
        self.actor.tell(
            messages.StartTask(spec, task, "booking", "k", b"{}", timeout)
        )

    def next_attempt(self):
        return self.attempts.get(timeout=TIMEOUT)

    def advance(self, seconds):
        self.now += seconds
        # Any message makes the actor check the deadlines.
        self.actor.tell(inboxes.DeadlineReached())

    def test_request_is_sent_in_one_packet(self):
        self.start_task(0)
        _, raw = self.server.accept()
        self.assertIn(b"Task-Id: job/0", raw)
        self.assertTrue(raw.endswith(b"\r\n\r\n{}"))

    def test_connection_is_reused(self):
        for index in range(2):
            self.start_task(index)
            if index == 0:
                conn, _ = self.server.accept()
            else:
                conn.recv(65536)
            conn.sendall(ANSWER % (1, b"%d" % index))
            self.assertEqual(b"%d" % index, self.next_attempt().answer.payload)
        self.assertTrue(self.server.accepted.empty())

    def test_late_answer_is_not_taken_for_another_request(self):
        self.start_task(0, timeout=5.0)
        timed_out, _ = self.server.accept()
        self.advance(5.0)
        self.assertEqual("answer", self.next_attempt().answer.phase)
        self.start_task(1)
        conn, _ = self.server.accept()
        self.assertEqual(b"", timed_out.recv(1))
        conn.sendall(ANSWER % (3, b"own"))
        attempt = self.next_attempt()
        self.assertEqual(
            (1, b"own"), (attempt.task.index, attempt.answer.payload)
        )

    def test_idle_connection_is_replaced(self):
        self.start_task(0)
        first, _ = self.server.accept()
        first.sendall(ANSWER % (1, b"a"))
        self.next_attempt()
        self.now += 30.5
        self.start_task(1)
        second, _ = self.server.accept()
        self.assertEqual(b"", first.recv(1))
        second.sendall(ANSWER % (1, b"b"))
        self.assertEqual(b"b", self.next_attempt().answer.payload)

    def test_truncated_answer_has_unknown_outcome(self):
        self.start_task(0)
        conn, _ = self.server.accept()
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        conn.close()
        answer = self.next_attempt().answer
        self.assertEqual("answer", answer.phase)

    def test_leaving_header_is_read(self):
        self.start_task(0)
        conn, _ = self.server.accept()
        head = b"HTTP/1.1 200 OK\r\nServer-Leaving: yes\r\n"
        conn.sendall(head + b"Content-Length: 1\r\n\r\na")
        answer = self.next_attempt().answer
        self.assertEqual(("done", True), (answer.phase, answer.leaving))

    def test_refused_connection_fails_in_the_connect_phase(self):
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            self.server.port = bound.getsockname()[1]
            self.start_task(0)
            self.assertEqual("connect", self.next_attempt().answer.phase)

    def test_answer_without_length_has_unknown_outcome(self):
        self.start_task(0)
        conn, _ = self.server.accept()
        conn.sendall(b"HTTP/1.1 200 OK\r\n\r\nmaybe whole")
        conn.close()
        self.assertEqual("answer", self.next_attempt().answer.phase)

    def test_chunked_answer_is_accepted(self):
        self.start_task(0)
        conn, _ = self.server.accept()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        conn.sendall(head + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        self.assertEqual(b"abc", self.next_attempt().answer.payload)
