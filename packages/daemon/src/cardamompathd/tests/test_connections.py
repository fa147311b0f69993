"""The actor of one backend server's connections, over real sockets."""

import queue
import socket
import threading
import unittest

from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.backends import connections
from cardamompathd.runtime import inboxes

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
WAIT = 10.0


class Server:
    """Hands each accepted connection to the test."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.accepted = queue.SimpleQueue()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                self.accepted.put(self.listener.accept()[0])
            except OSError:
                return

    def take(self):
        """Return the next connection and what came first over it."""
        conn = self.accepted.get(timeout=WAIT)
        return conn, conn.recv(65536)


class BackendActorTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.server = Server()
        self.addCleanup(self.server.listener.close)
        self.ended = queue.SimpleQueue()
        limits = connections.ConnectionLimits(connect=2.0, idle=30.0)
        self.actor = connections.start(
            limits, self.ended.put, lambda: self.now
        )
        self.addCleanup(self.actor.stop)

    def start(self, index, timeout=5.0):
        spec = types.BackendSpec(
            "e-1", "booking", "pocitos", "127.0.0.1", self.server.port
        )
        task = types.TaskRef("job", index)
        self.actor.tell(
            messages.StartTask(spec, task, "booking", "k", b"{}", timeout)
        )

    def end(self):
        return self.ended.get(timeout=WAIT)

    def pass_time(self, seconds):
        self.now += seconds
        # A wake-up with nothing to do: the actor looks at what is due.
        self.actor.tell(inboxes.DeadlineReached())

    def test_request_leaves_in_one_packet(self):
        self.start(0)
        _, raw = self.server.take()
        self.assertIn(b"Task-Id: job/0", raw)
        self.assertTrue(raw.endswith(b"\r\n\r\n{}"))

    def test_connection_is_used_again(self):
        for index in range(2):
            self.start(index)
            if index == 0:
                conn, _ = self.server.take()
            else:
                conn.recv(65536)
            conn.sendall(ANSWER % (1, b"%d" % index))
            self.assertEqual(b"%d" % index, self.end().answer.payload)
        self.assertTrue(self.server.accepted.empty())

    def test_late_answer_meets_no_other_request(self):
        self.start(0, timeout=5.0)
        late, _ = self.server.take()
        self.pass_time(5.0)
        self.assertEqual("answer", self.end().answer.phase)
        self.start(1)
        conn, _ = self.server.take()
        self.assertEqual(b"", late.recv(1))
        conn.sendall(ANSWER % (3, b"own"))
        ended = self.end()
        self.assertEqual((1, b"own"), (ended.task.index, ended.answer.payload))

    def test_idle_connection_is_opened_anew(self):
        self.start(0)
        first, _ = self.server.take()
        first.sendall(ANSWER % (1, b"a"))
        self.end()
        self.now += 30.5
        self.start(1)
        second, _ = self.server.take()
        self.assertEqual(b"", first.recv(1))
        second.sendall(ANSWER % (1, b"b"))
        self.assertEqual(b"b", self.end().answer.payload)

    def test_answer_cut_short_is_unknown(self):
        self.start(0)
        conn, _ = self.server.take()
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        conn.close()
        answer = self.end().answer
        self.assertEqual("answer", answer.phase)

    def test_leaving_sign_is_read(self):
        self.start(0)
        conn, _ = self.server.take()
        head = b"HTTP/1.1 200 OK\r\nServer-Leaving: yes\r\n"
        conn.sendall(head + b"Content-Length: 1\r\n\r\na")
        answer = self.end().answer
        self.assertEqual(("done", True), (answer.phase, answer.leaving))

    def test_refused_connection_never_sent(self):
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            self.server.port = bound.getsockname()[1]
            self.start(0)
            self.assertEqual("connect", self.end().answer.phase)

    def test_answer_without_length_is_unknown(self):
        self.start(0)
        conn, _ = self.server.take()
        conn.sendall(b"HTTP/1.1 200 OK\r\n\r\nmaybe whole")
        conn.close()
        self.assertEqual("answer", self.end().answer.phase)

    def test_chunked_answer_is_whole(self):
        self.start(0)
        conn, _ = self.server.take()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        conn.sendall(head + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
        self.assertEqual(b"abc", self.end().answer.payload)
