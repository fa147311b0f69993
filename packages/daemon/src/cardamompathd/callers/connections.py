"""Connections of a listener: deadlines, error pages, the last close.

cheroot bounds each single read of a socket; here the whole header and
the whole body have a deadline, so that a caller that sends a byte now
and then does not keep a thread.
"""

from __future__ import annotations

import json
import socket
import time

from cheroot import makefile
from cheroot import server

from cardamompathd.filters import chain

__all__ = [
    "BoundedConnection",
    "BoundedRequest",
]

BODY_TIME = 30.0
"""Seconds for a whole body to arrive."""

DISCARD_BYTES = 64 << 20
"""Most bytes that are read and dropped before a refused connection is
closed; a close with unread bytes would cut off the response."""

DISCARD_TIME = 2.0
"""Seconds for which bytes are dropped."""

CODES = {
    "400": ("bad_http", None),
    "408": ("request_timeout", "the request did not arrive in time"),
    "413": ("headers_too_large", None),
    "414": ("path_too_long", None),
    "500": ("internal", "internal error; the request may have run"),
    "501": ("bad_http", "the transfer encoding is not supported"),
    "503": ("overloaded", "no thread is free; nothing ran"),
    "505": ("bad_http", "only HTTP/1.0 and HTTP/1.1 are spoken"),
}
"""Code and reason for each status of cheroot; its own text for None."""

LENGTH = b"Content-Length"

STATUSES = {"413": "431 Request Header Fields Too Large"}
"""Statuses that cheroot names less exactly."""


class DeadlineIO(socket.SocketIO):
    """Reads from a socket until a deadline."""

    def __init__(self, sock: socket.socket):
        super().__init__(sock, "rb")
        self.deadline: float | None = None

    def readinto(self, buffer) -> int | None:
        """Read some bytes; raise TimeoutError after the deadline."""
        if self.deadline is not None:
            left = self.deadline - time.monotonic()
            if left <= 0.0:
                raise TimeoutError("timed out")
            self._sock.settimeout(left)
        return super().readinto(buffer)


class BoundedReader(makefile.StreamReader):
    """A buffered reader whose deadline can be set."""

    def __init__(self, sock: socket.socket, bufsize: int):
        self._source = DeadlineIO(sock)
        super(makefile.StreamReader, self).__init__(self._source, bufsize)
        self.bytes_read = 0

    def expire_in(self, seconds: float) -> None:
        """Let reads fail after that time."""
        self._source.deadline = time.monotonic() + seconds


class _Headers(dict):
    """Headers in which a second, different length does not get lost."""

    def __setitem__(self, name, value):
        if name == LENGTH and self.get(name, value) != value:
            value = self[name] + b", " + value
        super().__setitem__(name, value)


class BoundedRequest(server.HTTPRequest):
    """A request with a deadline and errors in JSON."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.inheaders = _Headers()

    def parse_request(self) -> None:
        """Read the header within the connection's timeout."""
        self.conn.rfile.expire_in(self.server.header_timeout)
        super().parse_request()
        self.conn.rfile.expire_in(BODY_TIME)

    def read_request_headers(self) -> bool:
        """Refuse a length that is no plain number."""
        if not super().read_request_headers():
            return False
        length = self.inheaders.get(LENGTH, b"0").strip()
        if not length.isdigit():
            self.simple_response("400 -", f"Content-Length is {length!r}")
            return False
        if self.chunked_read and LENGTH in self.inheaders:
            reason = "both Content-Length and Transfer-Encoding are given"
            self.simple_response("400 -", reason)
            return False
        return True

    def respond(self) -> None:
        """Respond; a body that was not read is discarded at the close."""
        super().respond()
        self.close_connection |= self.server.draining
        if self.chunked_read or getattr(self.rfile, "remaining", 0):
            self.close_connection = True
            self.conn.unread = True

    def send_headers(self) -> None:
        """Say in the response that a draining listener closes."""
        if self.server.draining:
            self.close_connection = True
        super().send_headers()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer an error of the protocol with a JSON body and close."""
        number = str(status)[:3]
        code, reason = CODES.get(number, ("bad_http", None))
        response = chain.error_response(int(number), code, reason or msg)
        raw = json.dumps(response.body).encode()
        line = STATUSES.get(number, f"{number} -")
        head = (
            f"HTTP/1.1 {line}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(raw)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.close_connection = True
        self.conn.unread = True
        try:
            self.conn.wfile.write(head.encode() + raw)
        except OSError:
            self.conn.unread = False


class BoundedConnection(server.HTTPConnection):
    """A connection that lets its last response arrive."""

    RequestHandlerClass = BoundedRequest

    def __init__(self, owner, sock, make_file=makefile.MakeFile):
        super().__init__(owner, sock, make_file)
        self.rfile.close()
        self.rfile = BoundedReader(sock, self.rbufsize)
        self.unread = False

    def close(self) -> None:
        """Close, after unread bytes were dropped."""
        if self.unread:
            self.unread = False
            self._discard()
        super().close()

    def _discard(self):
        end = time.monotonic() + DISCARD_TIME
        left = DISCARD_BYTES
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while left > 0 and time.monotonic() < end:
                self.socket.settimeout(DISCARD_TIME)
                got = len(self.socket.recv(1 << 16))
                if got == 0:
                    return
                left -= got
        except OSError:
            return
