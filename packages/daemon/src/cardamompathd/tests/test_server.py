"""The listener answers when it is full and stops without delay."""

import queue
import socket
import threading
import unittest
from unittest import mock

from cardamompathd.callers import server
from cardamompathd.filters import chain
from cardamompathd.tests import instance_fixtures

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class FullServerTest(unittest.TestCase):
    def test_request_without_a_free_thread_is_refused_in_json(self):
        handled = queue.SimpleQueue()
        release = threading.Event()

        def handle(req):
            handled.put(None)
            release.wait(20.0)
            return chain.Response(200, {})

        limits = server.ListenerLimits(threads=1, connections=1)
        address = ("127.0.0.1", 0)
        listener = server.start("test", address, handle, limits)
        self.addCleanup(listener.stop)
        self.addCleanup(release.set)
        socks = []
        for _ in range(2):
            sock = socket.create_connection((listener.host, listener.port))
            self.addCleanup(sock.close)
            sock.sendall(REQUEST)
            socks.append(sock)
            if len(socks) == 1:
                handled.get(timeout=20.0)
        status, body = instance_fixtures.send_raw(listener.port, REQUEST)
        self.assertEqual((503, "overloaded"), (status, body["code"]))
        release.set()
        for sock in socks:
            self.assertTrue(sock.recv(64).startswith(b"HTTP/1.1 200"))


class UnreadBodyTest(unittest.TestCase):
    def test_response_does_not_wait_for_a_body_that_nobody_reads(self):
        # The whole body was read into memory first, of any size.
        listener = server.start(
            "test",
            ("127.0.0.1", 0),
            lambda _: chain.Response(200, {}),
            server.ListenerLimits(threads=1),
        )
        self.addCleanup(listener.stop)
        for length in (7, 1 << 30, 10**18, 10**30):
            head = b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
            address = (listener.host, listener.port)
            with (
                self.subTest(length=length),
                socket.create_connection(address, 20.0) as sock,
            ):
                sock.sendall(head % length + b"part")
                self.assertTrue(sock.recv(64).startswith(b"HTTP/1.1 200"))
        status, _ = instance_fixtures.send_raw(listener.port, REQUEST)
        self.assertEqual(status, 200)


class StopTest(unittest.TestCase):
    def test_stop_does_not_wait_for_the_selector(self):
        limits = server.ListenerLimits(threads=1)
        with mock.patch.object(server, "EXPIRY_INTERVAL", 3600.0):
            listener = server.start(
                "test", ("127.0.0.1", 0), chain.Response, limits
            )
        stopping = threading.Thread(target=listener.stop, daemon=True)
        stopping.start()
        stopping.join(20.0)
        self.assertFalse(stopping.is_alive())
