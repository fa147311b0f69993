"""One connection to a backend server, owned by one actor."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import pykka
from urllib3 import connection
from urllib3 import exceptions
from urllib3.util import timeout as url_timeout

from cardamompath_core import types
from cardamompathd import messages

__all__ = [
    "LEAVING_HEADER",
    "NOT_RUN_HEADER",
    "ConnectionActor",
    "ConnectionEnded",
    "ConnectionLimits",
]

LEAVING_HEADER = "Server-Leaving"
"""A backend server that takes no more work answers with it set to yes."""
NOT_RUN_HEADER = "Task-Run"
"""A backend server that refuses a task answers with ``Task-Run: no``."""


class ConnectionLimits(NamedTuple):
    """Timeouts of a connection, in seconds."""

    connect: float = 1.0
    idle: float = 30.0
    """A connection that was idle for longer is opened anew."""


class ConnectionEnded(NamedTuple):
    """An exchange is over and its connection is free."""

    conn: Any
    ended: messages.TaskEnded


class ConnectionActor(pykka.ThreadingActor):
    """Sends one task at a time over its own connection.

    Parameters
    ----------
    limits : ConnectionLimits
        Timeouts.
    tell : callable
        Called with `ConnectionEnded` after each exchange.
    clock : callable
        Returns the present time in seconds.
    """

    use_daemon_thread = True

    def __init__(
        self,
        limits: ConnectionLimits,
        tell: Callable[[ConnectionEnded], None],
        clock: Callable[[], float],
    ):
        super().__init__()
        self._limits = limits
        self._tell = tell
        self._clock = clock
        self._conn: connection.HTTPConnection | None = None
        self._used = 0.0

    def on_receive(self, message: messages.StartTask) -> None:
        """Run one exchange and report how it ended."""
        began = self._clock()
        answer = self._exchange(message, began)
        self._used = self._clock()
        answer = answer._replace(elapsed=self._used - began)
        ended = messages.TaskEnded(message.backend.name, message.task, answer)
        self._tell(ConnectionEnded(self.actor_ref, ended))

    def on_stop(self) -> None:
        """Close the connection."""
        self._close()

    def _exchange(self, msg, now):
        phase = "connect"
        try:
            conn = self._open(msg.backend, now)
            phase = "send"
            conn.timeout = msg.timeout
            conn.sock.settimeout(msg.timeout)
            self._send(conn, msg)
            phase = "answer"
            response = conn.getresponse()
            payload = response.read(decode_content=False)
        except (exceptions.HTTPError, OSError) as exc:
            self._close()
            return types.BackendAnswer(phase, error=repr(exc))
        if response.headers.get("Connection", "").lower() == "close":
            self._close()
        not_run = response.headers.get(NOT_RUN_HEADER) == "no"
        leaving = response.headers.get(LEAVING_HEADER) == "yes"
        return types.BackendAnswer(
            "done", response.status, payload, not_run, leaving=leaving
        )

    def _send(self, conn, msg):
        headers = {
            "Content-Type": "application/octet-stream",
            "Task-Kind": msg.kind,
            "Task-Id": f"{msg.task.job}/{msg.task.index}",
        }
        conn.request(
            "POST",
            f"/v1/services/{msg.service}/tasks",
            body=msg.payload,
            headers=headers,
            preload_content=False,
        )

    def _open(self, backend, now):
        conn = self._conn
        if conn is not None:
            idle = now - self._used
            if idle <= self._limits.idle and conn.is_connected:
                return conn
            self._close()
        conn = connection.HTTPConnection(
            backend.host,
            backend.port,
            timeout=url_timeout.Timeout(
                connect=self._limits.connect
            ).connect_timeout,
        )
        self._conn = conn
        conn.connect()
        return conn

    def _close(self):
        if self._conn is not None:
            self._conn.close()
        self._conn = None
