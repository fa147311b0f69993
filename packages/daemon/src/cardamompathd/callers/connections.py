"""Connections of a listener: deadlines, error responses and lingering close.

cheroot has a timeout for each single read of a socket.  Here the whole
header and the whole body have a deadline, so that a caller that sends
single bytes at long intervals cannot occupy a thread.
"""

from __future__ import annotations

import json
import math
import select
import socket
import time

from cheroot import makefile
from cheroot import server

from cardamompathd.filters import chain

__all__ = [
    "BoundedConnection",
    "BoundedRequest",
]

BODY_TIMEOUT = 30.0
"""Seconds within which the whole body has to arrive."""

MAX_DISCARD_BYTES = 64 << 20
"""Limit on the bytes that are read and discarded before a connection is
closed.  A close with unread bytes resets the connection, and the caller
may lose the response."""

DISCARD_TIMEOUT = 2.0
"""Seconds after which the discarding of bytes ends."""

CODES_BY_STATUS = {
    "400": ("bad_http", None),
    "408": ("request_timeout", "the request did not arrive in time"),
    "413": ("headers_too_large", None),
    "414": ("path_too_long", None),
    "500": ("internal", "internal error; the request may have run"),
    "501": ("bad_http", "transfer encoding is not supported"),
    "503": ("overloaded", "no thread is free; nothing ran"),
    "505": ("bad_http", "only HTTP/1.0 and HTTP/1.1 are supported"),
}
"""Code and reason by the status of cheroot; None keeps its own text."""

CONTENT_LENGTH = b"Content-Length"

STATUS_LINES = {"413": "431 Request Header Fields Too Large"}
"""More specific statuses than those of cheroot."""


class DeadlineIO(socket.SocketIO):
    """Raw reads from a socket with a deadline."""

    def __init__(self, sock: socket.socket):
        super().__init__(sock, "rb")
        self.deadline: float | None = None

    def readinto(self, buffer) -> int | None:
        """Read into a buffer; raise TimeoutError after the deadline."""
        if self.deadline is not None:
            time_left = self.deadline - time.monotonic()
            if time_left <= 0.0:
                raise TimeoutError("timed out")
            self._sock.settimeout(time_left)
        return super().readinto(buffer)


class BoundedReader(makefile.StreamReader):
    """A buffered reader with a deadline."""

    def __init__(self, sock: socket.socket, bufsize: int):
        self._raw_io = DeadlineIO(sock)
        super(makefile.StreamReader, self).__init__(self._raw_io, bufsize)
        self.bytes_read = 0

    def set_timeout(self, seconds: float) -> None:
        """Set the deadline of reads to `seconds` from now."""
        self._raw_io.deadline = time.monotonic() + seconds


class _Headers(dict):
    """Headers that keep a second, different Content-Length.

    Otherwise the last one would hide a conflict from the checks.
    """

    def __setitem__(self, name, value):
        if name == CONTENT_LENGTH and self.get(name, value) != value:
            value = self[name] + b", " + value
        super().__setitem__(name, value)


class BoundedRequest(server.HTTPRequest):
    """A request with deadlines and errors in JSON."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.inheaders = _Headers()

    def parse_request(self) -> None:
        """Read the header within the timeout of the listener."""
        self.conn.rfile.set_timeout(self.server.header_timeout)
        super().parse_request()
        self.conn.rfile.set_timeout(BODY_TIMEOUT)

    def read_request_headers(self) -> bool:
        """Read the headers; reject a Content-Length that is not a number."""
        if not super().read_request_headers():
            return False
        length = self.inheaders.get(CONTENT_LENGTH, b"0").strip()
        if not length.isdigit():
            self.simple_response(
                "400 -", f"Content-Length must be a number, not {length!r}"
            )
            return False
        if self.chunked_read and CONTENT_LENGTH in self.inheaders:
            reason = "Content-Length and Transfer-Encoding are both present"
            self.simple_response("400 -", reason)
            return False
        return True

    def respond(self) -> None:
        """Respond; `close` discards what is left of the body."""
        super().respond()
        self.close_connection |= self.server.draining
        if self.chunked_read or getattr(self.rfile, "remaining", 0):
            self.close_connection = True
            self.conn.has_unread = True

    def send_headers(self) -> None:
        """Send the headers, with `Connection: close` while draining.

        So does a response without the body having been read, which cheroot
        would read first, of any size.
        """
        if self.server.draining or getattr(self.rfile, "remaining", 0):
            self.close_connection = True
        if self.server.clock is not None:
            self.conn.note_if_empty(self.server.clock())
        super().send_headers()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a protocol error in JSON and close the connection."""
        number = str(status)[:3]
        code, reason = CODES_BY_STATUS.get(number, ("bad_http", None))
        response = chain.error_response(int(number), code, reason or msg)
        raw = json.dumps(response.body).encode()
        line = STATUS_LINES.get(number, f"{number} -")
        head = (
            f"HTTP/1.1 {line}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(raw)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.close_connection = True
        self.conn.has_unread = True
        try:
            self.conn.wfile.write(head.encode() + raw)
        except OSError:
            self.conn.has_unread = False


class BoundedConnection(server.HTTPConnection):
    """A connection that discards unread bytes before it closes."""

    RequestHandlerClass = BoundedRequest

    def __init__(self, owner, sock, make_file=makefile.MakeFile):
        super().__init__(owner, sock, make_file)
        self.rfile.close()
        self.rfile = BoundedReader(sock, self.rbufsize)
        self.has_unread = False
        self.empty_at = -math.inf
        """When it was last known that no request waits here."""
        self.registered_at = math.inf
        """When the selector got it."""

    def note_if_empty(self, now: float) -> None:
        """Note that no request waits here, if that is so."""
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        if not poll.poll(0) and not self.rfile.has_data():
            self.empty_at = now

    def close(self) -> None:
        """Discard the unread bytes, then close."""
        if self.has_unread:
            self.has_unread = False
            self._discard()
        super().close()

    def _discard(self):
        deadline = time.monotonic() + DISCARD_TIMEOUT
        remaining = MAX_DISCARD_BYTES
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while remaining > 0 and time.monotonic() < deadline:
                self.socket.settimeout(DISCARD_TIMEOUT)
                count = len(self.socket.recv(1 << 16))
                if count == 0:
                    return
                remaining -= count
        except OSError:
            return
