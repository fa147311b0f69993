"""Non-blocking connections to many servers, owned by one task.

A planner exchanges a few small requests a second with each of hundreds of
executors.  One task owns all these connections, so that an exchange costs
no switch between threads and no thread waits for one executor.
"""

from __future__ import annotations

import errno
import heapq
import itertools
import socket
from collections.abc import Callable
from typing import Any

import httptools
import loguru

from cardamompath_core import types
from cardamompathd.backends import connections
from cardamompathd.runtime import sockets

__all__ = [
    "CallConnections",
    "make_owner",
]

ABORT_CODES = (errno.ECONNREFUSED, errno.ECONNRESET, errno.EPIPE)
"""Error codes of a connection that the other side refused or ended."""
READ_SIZE = 1 << 16
"""Largest number of bytes that are read from a connection at a time."""


class _Response:
    """A response as it arrives; the parser calls the methods."""

    __slots__ = ("complete", "extra", "keep_alive", "parser", "parts", "size")

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.size = 0
        self.complete = False
        self.keep_alive = False
        self.extra = False
        """Whether more followed than one response."""

    def on_message_begin(self) -> None:
        """Note a second response, which no request has asked for."""
        self.extra = self.complete

    def on_body(self, part: bytes) -> None:
        """Keep a part of the body, up to one beyond the size limit."""
        if self.complete:
            return
        if self.size <= connections.MAX_ANSWER_BYTES:
            self.parts.append(part)
        self.size += len(part)

    def on_message_complete(self) -> None:
        """Note the end of the response, and whether the connection stays."""
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()


class _Connection:
    __slots__ = (
        "call",
        "connected",
        "last_used",
        "number",
        "opened_at",
        "response",
        "server",
        "sock",
        "started_at",
        "unsent",
    )

    def __init__(self, number, server, sock, now):
        self.number = number
        self.server = server
        self.sock = sock
        self.connected = False
        self.opened_at = now
        self.call: Any = None
        """The call in progress, None if the connection is free."""
        self.started_at = now
        self.last_used = now
        self.unsent = b""
        self.response: _Response | None = None


class CallConnections:
    """Connections on which one call at a time waits for its response.

    A call uses the free connection to its server that was used last, so
    that surplus ones become idle.  A connection whose call timed out is
    closed, so that a late response is not taken for that of another call.
    The free connections to that server are closed with it, as they may
    have fallen silent too.

    Parameters
    ----------
    limits : ConnectionLimits
        Timeouts.
    registry : SocketRegistry
        Reports when the sockets are ready.
    handle_answer : callable
        Called with each call and its `BackendAnswer`.
    """

    def __init__(
        self,
        limits: connections.ConnectionLimits,
        registry: sockets.SocketRegistry,
        handle_answer: Callable[[Any, types.BackendAnswer], None],
    ):
        self._limits = limits
        self._registry = registry
        self._handle_answer = handle_answer
        self._numbers = itertools.count()
        self._connections: dict[int, _Connection] = {}
        self._free: dict[tuple, list[_Connection]] = {}
        self._deadlines: list[tuple[float, int, Any]] = []
        self._invalid_servers: set[tuple] = set()
        """Servers whose address raised an error other than that of a
        connection, which is logged once."""

    def send(self, call: Any, now: float) -> None:
        """Send a call to its server."""
        server = tuple(call.backend)
        conn = self._take_free(server, now)
        if conn is None:
            conn = self._open(server, call, now)
            if conn is None:
                return
        conn.call = call
        conn.started_at = now
        conn.unsent = call.request
        conn.response = _Response()
        timeout = call.timeout
        if not conn.connected:
            timeout = min(timeout, self._limits.connect)
        entry = (now + timeout, conn.number, call)
        heapq.heappush(self._deadlines, entry)
        if conn.connected:
            self._flush(conn, now)

    def disconnect(self, name: str, host: str, port: int) -> None:
        """Close the connections to a server; its calls get no answer."""
        server = (name, host, port)
        for conn in list(self._connections.values()):
            if conn.server == server:
                self._close(conn)
        self._free.pop(server, None)
        self._invalid_servers.discard(server)

    def read(self, number: int, now: float) -> None:
        """Read from a connection that is readable."""
        conn = self._connections.get(number)
        if conn is None:
            return
        try:
            received = conn.sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(conn, repr(exc), now, aborted=exc.errno in ABORT_CODES)
            return
        if conn.call is None:
            # A free connection is only readable when the server closes it.
            self._close(conn)
        elif not received:
            self._fail(conn, "the connection ended early", now, aborted=True)
        else:
            self._parse(conn, received, now)

    def write(self, number: int, now: float) -> None:
        """Go on with a connection that is writable."""
        conn = self._connections.get(number)
        if conn is None:
            return
        if not conn.connected:
            code = conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                reason = errno.errorcode.get(code, str(code))
                self._fail(conn, reason, now, aborted=code in ABORT_CODES)
                return
            conn.connected = True
            deadline = conn.started_at + conn.call.timeout
            entry = (deadline, conn.number, conn.call)
            heapq.heappush(self._deadlines, entry)
        self._flush(conn, now)

    def time_out(self, now: float) -> None:
        """End the calls whose time is over."""
        while self._deadlines and self._is_first_over(now):
            at, number, call = heapq.heappop(self._deadlines)
            conn = self._connections.get(number)
            if conn is None or conn.call is not call:
                continue
            if conn.connected and at < conn.started_at + call.timeout:
                continue
            for free in self._free.pop(conn.server, ()):
                self._close(free)
            self._fail(conn, "timed out", now)

    def next_deadline(self) -> float | None:
        """Return when `time_out` is due, None if no call waits."""
        return self._deadlines[0][0] if self._deadlines else None

    def close(self) -> None:
        """Close every connection."""
        for conn in list(self._connections.values()):
            self._close(conn)
        self._free.clear()

    def _take_free(self, server, now):
        free = self._free.get(server)
        while free:
            conn = free.pop()
            if now - conn.last_used <= self._limits.idle:
                return conn
            self._close(conn)
        return None

    def _open(self, server, call, now):
        """Return a new connection, None if the call has failed."""
        try:
            return self._connect(server, now)
        except OSError as exc:
            reason = errno.errorcode.get(exc.errno, repr(exc))
            aborted = exc.errno in ABORT_CODES
        except Exception as exc:
            # Several kinds of errors mean that the address is invalid.
            if server not in self._invalid_servers:
                loguru.logger.exception("calls: cannot connect to {}", server)
            self._invalid_servers.add(server)
            reason = repr(exc)
            aborted = False
        answer = types.BackendAnswer("connect", error=reason, aborted=aborted)
        self._handle_answer(call, answer)
        return None

    def _connect(self, server, now):
        sock = socket.socket()
        try:
            sock.setblocking(False)
            for option in connections.SOCKET_OPTIONS:
                sock.setsockopt(*option)
            code = sock.connect_ex(server[1:])
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, errno.errorcode.get(code, ""))
            conn = _Connection(next(self._numbers), server, sock, now)
            self._registry.register(sock, conn.number, writable=True)
        except BaseException:
            sock.close()
            raise
        self._connections[conn.number] = conn
        return conn

    def _flush(self, conn, now):
        if now >= conn.call.start_by and (
            len(conn.unsent) == len(conn.call.request)
        ):
            call = self._release(conn, now)
            answer = types.BackendAnswer("connect", error="sent too late")
            self._handle_answer(call, answer)
            return
        try:
            sent = conn.sock.send(conn.unsent)
        except BlockingIOError:
            sent = 0
        except OSError as exc:
            self._fail(conn, repr(exc), now, "send", exc.errno in ABORT_CODES)
            return
        conn.unsent = conn.unsent[sent:]
        self._registry.watch_writable(
            conn.sock, conn.number, bool(conn.unsent)
        )

    def _parse(self, conn, received, now):
        response = conn.response
        try:
            response.parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._fail(conn, repr(exc), now)
            return
        if response.size > connections.MAX_ANSWER_BYTES:
            limit = connections.MAX_ANSWER_BYTES
            self._fail(conn, f"answer is larger than {limit} bytes", now)
            return
        if not response.complete:
            return
        status = response.parser.get_status_code()
        keep = response.keep_alive and not response.extra
        elapsed = now - conn.started_at
        call = self._release(conn, now) if keep else conn.call
        if not keep:
            self._close(conn)
        payload = b"".join(response.parts)
        self._handle_answer(
            call,
            types.BackendAnswer("done", status, payload, elapsed=elapsed),
        )

    def _release(self, conn, now):
        """Make a connection free; return the call that has ended."""
        call, conn.call = conn.call, None
        conn.response = None
        conn.last_used = now
        self._registry.watch_writable(conn.sock, conn.number, False)
        self._free.setdefault(conn.server, []).append(conn)
        return call

    def _fail(self, conn, reason, now, phase="answer", aborted=False):
        self._close(conn)
        if conn.call is None:
            return
        if not conn.connected:
            phase = "connect"
        elapsed = now - conn.started_at
        answer = types.BackendAnswer(
            phase, elapsed=elapsed, error=reason, aborted=aborted
        )
        self._handle_answer(conn.call, answer)

    def _close(self, conn):
        if self._connections.pop(conn.number, None) is None:
            return
        free = self._free.get(conn.server)
        if free and conn in free:
            free.remove(conn)
        self._registry.unregister(conn.sock, conn.number)
        conn.sock.close()

    def _is_first_over(self, now):
        at, number, call = self._deadlines[0]
        conn = self._connections.get(number)
        return at <= now or conn is None or conn.call is not call


def make_owner(
    name: str, calls: CallConnections, receive: Callable[[Any, float], None]
) -> sockets.SocketOwner:
    """Return what an actor needs to know of connections that it owns.

    Parameters
    ----------
    name : str
        Address of the messages for the connections.
    receive : callable
        Handles a message at a time.
    """
    return sockets.SocketOwner(
        name,
        receive,
        calls.read,
        calls.write,
        calls.time_out,
        calls.next_deadline,
        calls.close,
    )
