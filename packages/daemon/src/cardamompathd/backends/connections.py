"""The connections to one backend server, owned by one actor."""

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
"""A backend server that takes no more work answers with it set to yes."""
NOT_RUN_HEADER = "Task-Run"
"""A backend server that refuses a task answers with ``Task-Run: no``."""

STALL = 2.0
"""Seconds that an answer may stall once its first byte came."""

MAX_ANSWER = 16 << 20
"""Largest answer of a backend server in bytes."""

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
    """A connection that was idle for longer is closed."""


class BufferedConnection(connection.HTTPConnection):
    """Collects the parts of a request, so that one packet carries it."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._parts: list[bytes] = []

    def send(self, data) -> None:
        """Keep a part of the request."""
        self._parts.append(data)

    def flush(self) -> None:
        """Send the request.

        Raises
        ------
        OSError
            If the connection fails.
        """
        whole = b"".join(self._parts)
        self._parts.clear()
        self.sock.sendall(whole)


WriteRequest = Callable[[BufferedConnection, Any], None]
Conclude = Callable[[Any, types.BackendAnswer], None]


class BackendConnection:
    """One connection and the task that is on it, if any."""

    __slots__ = ("began", "conn", "number", "sock", "task", "used")

    def __init__(self, number: int, conn: BufferedConnection):
        self.number = number
        self.conn = conn
        self.sock = conn.sock
        self.task: Any = None
        self.began = 0.0
        self.used = 0.0


class BackendActor(pykka.ThreadingActor):
    """Owns all connections to one backend server.

    A task takes the connection that was used last, so that surplus
    connections become idle and close.  A connection whose exchange
    timed out is closed: a late answer can meet no other request.

    Parameters
    ----------
    limits : ConnectionLimits
        Timeouts.
    conclude : callable
        Called with the message and the `BackendAnswer` of each exchange.
    clock : callable
        Returns the present time in seconds.
    write : callable
        Writes the request of a message on a connection.
    """

    use_daemon_thread = True

    def __init__(
        self,
        limits: ConnectionLimits,
        conclude: Conclude,
        clock: Callable[[], float],
        write: WriteRequest,
    ):
        super().__init__()
        self._limits = limits
        self._conclude = conclude
        self._clock = clock
        self._write = write
        self._numbers = itertools.count()
        self._free: list[BackendConnection] = []
        self._open: dict[int, BackendConnection] = {}
        self._due: list[tuple[float, int, Any]] = []

    @staticmethod
    def _create_actor_inbox():
        return inboxes.SelectorInbox()

    def on_receive(self, message) -> None:
        """Start a task, read an answer, or give up what is overdue."""
        now = self._clock()
        if isinstance(message, inboxes.Readable):
            self._read(message.key)
        elif not isinstance(message, inboxes.DeadlineReached):
            self._start(message, now)
        self._expire(now)

    def on_stop(self) -> None:
        """Close every connection."""
        for exchange in list(self._open.values()):
            self._close(exchange)
        self.actor_inbox.close()

    def _start(self, msg, now):
        phase = "connect"
        exchange = None
        try:
            exchange = self._take(msg.backend, now)
            if self._clock() >= msg.start_by:
                self._release(exchange)
                lapsed = types.BackendAnswer(phase, error="the lease lapsed")
                self._end(msg, lapsed)
                return
            phase = "send"
            exchange.task = msg
            exchange.began = now
            self._write(exchange.conn, msg)
            exchange.conn.flush()
        except (exceptions.HTTPError, OSError) as exc:
            if exchange is not None:
                self._close(exchange)
            self._end(msg, types.BackendAnswer(phase, error=repr(exc)))
            return
        due = (now + msg.timeout, exchange.number, msg)
        heapq.heappush(self._due, due)
        self._set_due()

    def _release(self, exchange):
        exchange.used = self._clock()
        self._free.append(exchange)

    def _take(self, backend, now):
        while self._free:
            exchange = self._free.pop()
            if now - exchange.used <= self._limits.idle:
                return exchange
            self._close(exchange)
        conn = BufferedConnection(
            backend.host,
            backend.port,
            timeout=self._limits.connect,
            socket_options=SOCKET_OPTIONS,
        )
        conn.connect()
        conn.timeout = STALL
        conn.sock.settimeout(STALL)
        exchange = BackendConnection(next(self._numbers), conn)
        self._open[exchange.number] = exchange
        self.actor_inbox.register(exchange.sock, exchange.number)
        return exchange

    def _read(self, number):
        exchange = self._open.get(number)
        if exchange is None:
            return
        if exchange.task is None:
            # A free connection has nothing to say but its end.
            self._free.remove(exchange)
            self._close(exchange)
            return
        msg = exchange.task
        answer = _receive(exchange.conn)
        exchange.used = self._clock()
        exchange.task = None
        answer = answer._replace(elapsed=exchange.used - exchange.began)
        if answer.phase == "done" and exchange.conn.sock is not None:
            self._free.append(exchange)
        else:
            self._close(exchange)
        self._end(msg, answer)

    def _expire(self, now):
        while self._due and self._is_over(now):
            _, number, msg = heapq.heappop(self._due)
            exchange = self._open.get(number)
            if exchange is None or exchange.task is not msg:
                continue
            self._close(exchange)
            waited = now - exchange.began
            self._end(
                msg,
                types.BackendAnswer(
                    "answer", elapsed=waited, error="timed out"
                ),
            )
        self._set_due()

    def _is_over(self, now):
        at, number, msg = self._due[0]
        exchange = self._open.get(number)
        return at <= now or exchange is None or exchange.task is not msg

    def _set_due(self):
        at = self._due[0][0] if self._due else None
        self.actor_inbox.set_deadline(at, self._clock)

    def _close(self, exchange):
        if self._open.pop(exchange.number, None) is None:
            return
        self.actor_inbox.unregister(exchange.sock)
        exchange.sock.close()
        exchange.conn.close()

    def _end(self, msg, answer):
        self._conclude(msg, answer)


def start(limits, tell, clock) -> pykka.ActorRef:
    """Start the actor of one backend server's connections."""

    def conclude(msg, answer):
        tell(messages.AttemptEnded(msg.backend.name, msg.task, answer))

    return BackendActor.start(limits, conclude, clock, _write_task)


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


def _receive(conn):
    try:
        # The response class of urllib3 costs as much as the exchange.
        response = client.HTTPConnection.getresponse(conn)
        payload = response.read(MAX_ANSWER + 1)
    except (client.HTTPException, OSError) as exc:
        return types.BackendAnswer("answer", error=repr(exc))
    if len(payload) > MAX_ANSWER:
        error = f"answer is larger than {MAX_ANSWER} bytes"
        return types.BackendAnswer("answer", error=error)
    if response.length is None and not response.chunked:
        error = "answer without a length may be cut short"
        return types.BackendAnswer("answer", error=error)
    if response.length:
        error = f"answer ended {response.length} bytes early"
        return types.BackendAnswer("answer", error=error)
    not_run = response.headers.get(NOT_RUN_HEADER) == "no"
    leaving = response.headers.get(LEAVING_HEADER) == "yes"
    return types.BackendAnswer(
        "done", response.status, payload, not_run, leaving=leaving
    )
