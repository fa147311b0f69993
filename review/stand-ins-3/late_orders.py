"""A proxy in front of an executor that leaves some orders unanswered.

It passes requests on one by one.  While orders are late, a share of the starts
gets no answer and is delivered seconds later, to the process that listens then.
"""

import random
import socket
import threading
import time

DELAYS = (2.0, 12.0)
"""Seconds after which a late order is carried out."""


class ExecutorProxy:
    def __init__(self, target, note):
        self.late_share = 0.0
        self.late_count = 0
        self._target = target
        self._note = note
        self._rng = random.Random()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(client,), daemon=True
            ).start()

    def _serve(self, client):
        """Pass the requests of a connection on until either side ends it."""
        server = None
        try:
            while (request := _read_message(client)) is not None:
                if (
                    request.startswith(b"POST /v1/run-start ")
                    and self._rng.random() < self.late_share
                ):
                    self._delay(request)
                    while client.recv(1 << 16):
                        pass
                    return
                if server is None:
                    server = self._connect()
                server.sendall(request)
                response = _read_message(server)
                if response is None:
                    return
                client.sendall(response)
        except OSError:
            pass
        finally:
            for sock in (client, server):
                if sock is not None:
                    sock.close()

    def _connect(self):
        sock = socket.create_connection(("127.0.0.1", self._target), 5.0)
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def _delay(self, request):
        self.late_count += 1
        delay = self._rng.uniform(*DELAYS)
        threading.Thread(
            target=self._deliver, args=(request, delay), daemon=True
        ).start()

    def _deliver(self, request, delay):
        time.sleep(delay)
        try:
            server = self._connect()
            server.sendall(request)
            _read_message(server)
            server.close()
        except OSError:
            return


def _read_message(sock):
    """Read a request or a response with its body; None at the end."""
    raw = b""
    while b"\r\n\r\n" not in raw:
        received = sock.recv(1 << 16)
        if not received:
            return None
        raw += received
    head = raw.partition(b"\r\n\r\n")[0].lower()
    length = 0
    for line in head.split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    missing = length - len(raw.partition(b"\r\n\r\n")[2])
    while missing > 0:
        received = sock.recv(1 << 16)
        if not received:
            return None
        raw += received
        missing -= len(received)
    return raw
