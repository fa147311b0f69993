"""The listener for callers or operators, and its WSGI codec."""

from __future__ import annotations

import functools
import json
import queue
import select
import socket
import threading
from collections.abc import Callable
from typing import NamedTuple
from urllib import parse

import loguru
from cheroot import wsgi

from cardamompathd.callers import connections
from cardamompathd.filters import chain
from cardamompathd.filters import errors

__all__ = [
    "Listener",
    "ListenerLimits",
    "make_application",
    "start",
]

EXPIRY_INTERVAL = 5.0
"""Seconds between looks for connections that were idle too long."""

LONGEST_REST = 0.5
"""Seconds after which a listener looks for expired connections."""

WAKE_TIMEOUT = 1.0
"""Seconds to reach the own listener when it stops."""


GONE = "cardamompath.gone"
"""Key of the function that tells whether the caller has left."""


class ListenerLimits(NamedTuple):
    """Bounds of a listener."""

    threads: int = 64
    connections: int = 1024
    """Connections that are kept open, and as many that wait."""
    header_bytes: int = 16 * 1024
    timeout: float = 10.0
    """Seconds for a whole header to arrive, and for an idle connection."""
    backlog: int = 128


class Listener(NamedTuple):
    """A running listener."""

    host: str
    port: int
    stop: Callable[[], None]
    """Ends the listener after the requests in progress."""
    drain: Callable[[], None] = lambda: None
    """Closes each connection after its next response."""


class _Gateway(wsgi.Gateway_10):
    """Lets the application see whether the caller is still there."""

    def get_environ(self):
        """Return the environment of the request."""
        environ = super().get_environ()
        environ[GONE] = functools.partial(_is_gone, self.req.conn.socket)
        return environ


def _is_gone(sock):
    """Return whether the other side of a connection has closed it."""
    poll = select.poll()
    try:
        poll.register(sock, select.POLLIN)
        if not poll.poll(0):
            return False
        return sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except (OSError, ValueError):
        return True


def make_application(handler: chain.Handler):
    """Make the WSGI application that runs a handler."""

    def application(environ, start_response):
        response = handler(_request(environ))
        content = "application/json"
        body = response.body
        if isinstance(body, str):
            content = "text/plain; charset=utf-8"
            raw = body.encode()
        else:
            raw = json.dumps(body).encode()
        headers = [
            ("Content-Type", content),
            ("Content-Length", str(len(raw))),
            *response.headers,
        ]
        start_response(f"{response.status} -", headers)
        return [raw]

    return application


def _request(environ):
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if "chunked" in headers.get("transfer-encoding", "").lower():
        length = None
    query = dict(
        parse.parse_qsl(
            environ.get("QUERY_STRING", ""), keep_blank_values=True
        )
    )

    def read() -> bytes:
        return _read_body(environ["wsgi.input"], length)

    return chain.Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        query,
        headers,
        read,
        length,
        is_disconnected=environ.get(GONE, bool),
    )


def _read_body(stream, length):
    try:
        return stream.read(length)
    except TimeoutError as exc:
        raise errors.BodyTimeout("the body did not arrive in time") from exc
    except (OSError, ValueError) as exc:
        raise errors.BodyCutShort("the connection broke off") from exc


class BoundedServer(wsgi.Server):
    """A server whose threads wait for whole requests only."""

    ConnectionClass = connections.BoundedConnection
    draining = False
    header_timeout = 10.0

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.draining = True

    def process_conn(self, conn) -> None:
        """Hand a connection that has bytes to a thread.

        A new connection waits in the selector first, so that one that
        stays silent takes no thread.
        """
        if conn.last_used is None:
            self.put_conn(conn)
            return
        try:
            self.requests.put(conn)
        except queue.Full:
            self._refuse(conn)

    def error_log(self, msg="", level=20, traceback=False) -> None:
        """Log what the server reports."""
        if level >= 40 or traceback:
            loguru.logger.warning("listener: {}", msg)

    def stop(self) -> None:
        """Stop at once when no request is in progress."""
        if not self.ready:
            return
        self._connections._stop_requested = True
        self._wake()
        super().stop()

    def _refuse(self, conn):
        request = conn.RequestHandlerClass(self, conn)
        request.simple_response("503 -")
        conn.unread = False
        conn.close()

    def _wake(self):
        address = self.socket.getsockname()[:2]
        try:
            socket.create_connection(address, WAKE_TIMEOUT).close()
        except OSError as exc:
            loguru.logger.warning("listener: {} at the stop", exc)


def _rest_longer(server):
    """Let the thread that waits for connections wake up less often.

    The library wakes it 100 times a second, which is most of what an
    idle instance spends.  New connections and requests wake it anyway.
    """
    selector = server._connections._selector
    select_shortly = selector.select
    selector.select = lambda timeout=None: select_shortly(LONGEST_REST)


def start(
    name: str,
    address: tuple[str, int],
    handler: chain.Handler,
    limits: ListenerLimits,
) -> Listener:
    """Start a listener.

    Parameters
    ----------
    name : str
        Name of its thread.
    address : tuple of str and int
        IP number and port; port 0 takes any that is free.
    handler : callable
        Answers the requests.
    limits : ListenerLimits
        Bounds.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    server = BoundedServer(
        address,
        make_application(handler),
        numthreads=limits.threads,
        max=limits.threads,
        request_queue_size=limits.backlog,
        timeout=limits.timeout,
        server_name="cardamompath",
        accepted_queue_size=limits.connections,
        accepted_queue_timeout=0.001,
    )
    server.max_request_header_size = limits.header_bytes
    server.header_timeout = limits.timeout
    server.keep_alive_conn_limit = limits.connections
    server.expiration_interval = EXPIRY_INTERVAL
    server.gateway = _Gateway
    server.prepare()
    _rest_longer(server)
    thread = threading.Thread(target=server.serve, name=name, daemon=True)
    thread.start()
    host, port = server.bind_addr[:2]
    return Listener(host, port, server.stop, server.drain)
