"""The actor that owns the connections to one backend server."""

from __future__ import annotations

import heapq
import itertools
import socket
from collections.abc import Callable
from http import client
from typing import Any
from typing import NamedTuple

import pykka
from urllib3 import connection
from urllib3 import exceptions

from cardamompath_core import types
from cardamompathd import messages
from cardamompathd.runtime import inboxes

__all__ = [
    "LEAVING_HEADER",
    "NOT_RUN_HEADER",
    "BackendActor",
    "ConnectionLimits",
    "start",
]

LEAVING_HEADER = "Server-Leaving"
"""Response header, ``yes`` if the backend server accepts no more work."""
NOT_RUN_HEADER = "Task-Run"
"""Response header, ``no`` if the backend server did not run the task."""

STALL_TIMEOUT = 2.0
"""Seconds between two reads of an answer whose first byte has arrived."""

MAX_ANSWER_BYTES = 16 << 20
"""Largest accepted answer of a backend server."""

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 10),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 10_000),
]


class ConnectionLimits(NamedTuple):
    """Timeouts of a connection, in seconds."""

    connect: float = 1.0
    idle: float = 30.0
    """A connection that has been idle for longer is not used again."""


class BufferedConnection(connection.HTTPConnection):
    """Buffers a request, so that it is sent in one packet."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._parts: list[bytes] = []

    def send(self, data) -> None:
        """Buffer a part of the request."""
        self._parts.append(data)

    def flush(self) -> None:
        """Send the buffered request.

        Raises
        ------
        OSError
            If the connection fails.
        """
        request = b"".join(self._parts)
        self._parts.clear()
        self.sock.sendall(request)


WriteRequest = Callable[[BufferedConnection, Any], None]
HandleAnswer = Callable[[Any, types.BackendAnswer], None]


class BackendConnection:
    """One connection and the message of its current request, if any."""

    __slots__ = ("conn", "last_used", "msg", "number", "sock", "started_at")

    def __init__(self, number: int, conn: BufferedConnection):
        self.number = number
        self.conn = conn
        self.sock = conn.sock
        self.msg: Any = None
        self.started_at = 0.0
        self.last_used = 0.0


class BackendActor(pykka.ThreadingActor):
    """Owns all connections to one backend server.

    A request uses the free connection that was used last, so that surplus
    connections become idle.  A connection whose request timed out is
    closed: a late answer cannot be taken for that of another request.

    Parameters
    ----------
    limits : ConnectionLimits
        Timeouts.
    handle_answer : callable
        Called with the message and the `BackendAnswer` of each request.
    clock : callable
        Returns the current time in seconds.
    write : callable
        Writes the request of a message to a connection.
    """

    use_daemon_thread = True

    def __init__(
        self,
        limits: ConnectionLimits,
        handle_answer: HandleAnswer,
        clock: Callable[[], float],
        write: WriteRequest,
    ):
        super().__init__()
        self._limits = limits
        self._handle_answer = handle_answer
        self._clock = clock
        self._write = write
        self._numbers = itertools.count()
        self._free_connections: list[BackendConnection] = []
        self._connections: dict[int, BackendConnection] = {}
        self._deadlines: list[tuple[float, int, Any]] = []

    @staticmethod
    def _create_actor_inbox():
        return inboxes.SelectorInbox()

    def on_receive(self, message) -> None:
        """Send a request, read an answer, or time out overdue requests."""
        now = self._clock()
        if isinstance(message, inboxes.Readable):
            self._read(message.key)
        elif not isinstance(message, inboxes.DeadlineReached):
            self._send(message, now)
        self._time_out(now)

    def on_stop(self) -> None:
        """Close every connection."""
        for backend_conn in list(self._connections.values()):
            self._close(backend_conn)
        self.actor_inbox.close()

    def _send(self, msg, now):
        phase = "connect"
        backend_conn = None
        try:
            backend_conn = self._acquire(msg.backend, now)
            if self._clock() >= msg.start_by:
                self._release(backend_conn)
                answer = types.BackendAnswer(phase, error="the lease lapsed")
                self._report(msg, answer)
                return
            phase = "send"
            backend_conn.msg = msg
            backend_conn.started_at = now
            self._write(backend_conn.conn, msg)
            backend_conn.conn.flush()
        except (exceptions.HTTPError, OSError) as exc:
            if backend_conn is not None:
                self._close(backend_conn)
            self._report(msg, types.BackendAnswer(phase, error=repr(exc)))
            return
        entry = (now + msg.timeout, backend_conn.number, msg)
        heapq.heappush(self._deadlines, entry)
        self._set_deadline()

    def _release(self, backend_conn):
        backend_conn.last_used = self._clock()
        self._free_connections.append(backend_conn)

    def _acquire(self, backend, now):
        while self._free_connections:
            backend_conn = self._free_connections.pop()
            if now - backend_conn.last_used <= self._limits.idle:
                return backend_conn
            self._close(backend_conn)
        conn = BufferedConnection(
            backend.host,
            backend.port,
            timeout=self._limits.connect,
            socket_options=SOCKET_OPTIONS,
        )
        conn.connect()
        conn.timeout = STALL_TIMEOUT
        conn.sock.settimeout(STALL_TIMEOUT)
        backend_conn = BackendConnection(next(self._numbers), conn)
        self._connections[backend_conn.number] = backend_conn
        self.actor_inbox.register(backend_conn.sock, backend_conn.number)
        return backend_conn

    def _read(self, number):
        backend_conn = self._connections.get(number)
        if backend_conn is None:
            return
        if backend_conn.msg is None:
            # A free connection is only readable when the server closes it.
            self._free_connections.remove(backend_conn)
            self._close(backend_conn)
            return
        msg = backend_conn.msg
        answer = _read_answer(backend_conn.conn)
        backend_conn.last_used = self._clock()
        backend_conn.msg = None
        answer = answer._replace(
            elapsed=backend_conn.last_used - backend_conn.started_at
        )
        if answer.phase == "done" and backend_conn.conn.sock is not None:
            self._free_connections.append(backend_conn)
        else:
            self._close(backend_conn)
        self._report(msg, answer)

    def _time_out(self, now):
        while self._deadlines and self._is_first_over(now):
            _, number, msg = heapq.heappop(self._deadlines)
            backend_conn = self._connections.get(number)
            if backend_conn is None or backend_conn.msg is not msg:
                continue
            self._close(backend_conn)
            elapsed = now - backend_conn.started_at
            self._report(
                msg,
                types.BackendAnswer(
                    "answer", elapsed=elapsed, error="timed out"
                ),
            )
        self._set_deadline()

    def _is_first_over(self, now):
        at, number, msg = self._deadlines[0]
        backend_conn = self._connections.get(number)
        return at <= now or backend_conn is None or backend_conn.msg is not msg

    def _set_deadline(self):
        at = self._deadlines[0][0] if self._deadlines else None
        self.actor_inbox.set_deadline(at, self._clock)

    def _close(self, backend_conn):
        if self._connections.pop(backend_conn.number, None) is None:
            return
        self.actor_inbox.unregister(backend_conn.sock)
        backend_conn.sock.close()
        backend_conn.conn.close()

    def _report(self, msg, answer):
        self._handle_answer(msg, answer)


def start(limits, tell, clock) -> pykka.ActorRef:
    """Start the actor that owns the connections to one backend server."""

    def report(msg, answer):
        tell(messages.AttemptEnded(msg.backend.name, msg.task, answer))

    return BackendActor.start(limits, report, clock, _write_task)


def _write_task(conn, msg):
    conn.putrequest(
        "POST",
        f"/v1/services/{msg.service}/tasks",
        skip_accept_encoding=True,
    )
    conn.putheader("Content-Length", len(msg.payload))
    conn.putheader("Task-Kind", msg.kind)
    conn.putheader("Task-Id", f"{msg.task.job}/{msg.task.index}")
    conn.endheaders(msg.payload)


def _read_answer(conn):
    try:
        # The response class of urllib3 takes as much processor time as the
        # rest of the exchange.
        response = client.HTTPConnection.getresponse(conn)
        payload = response.read(MAX_ANSWER_BYTES + 1)
    except (client.HTTPException, OSError) as exc:
        return types.BackendAnswer("answer", error=repr(exc))
    if len(payload) > MAX_ANSWER_BYTES:
        error = f"answer is larger than {MAX_ANSWER_BYTES} bytes"
        return types.BackendAnswer("answer", error=error)
    if response.length is None and not response.chunked:
        error = "answer without a length may be truncated"
        return types.BackendAnswer("answer", error=error)
    if response.length:
        error = f"answer ended {response.length} bytes early"
        return types.BackendAnswer("answer", error=error)
    not_run = response.headers.get(NOT_RUN_HEADER) == "no"
    leaving = response.headers.get(LEAVING_HEADER) == "yes"
    return types.BackendAnswer(
        "done", response.status, payload, not_run, leaving=leaving
    )
