"""The HTTP listener for callers or operators, and its WSGI codec."""

from __future__ import annotations

import functools
import json
import math
import queue
import select
import socket
import threading
from collections.abc import Callable
from typing import NamedTuple
from urllib import parse

import loguru
from cheroot import wsgi
from cheroot.workers import threadpool

from cardamompathd.callers import arrivals
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
"""Seconds between checks for connections that were idle too long."""

SELECT_TIMEOUT = 0.5
"""Longest time in seconds for which the selector of a listener waits."""

ARRIVAL_SELECT_TIMEOUT = 0.1
"""The same for a listener that tells when requests arrived, and about how much
earlier than they did it may say that."""

MIN_THREADS = 2
"""Threads of a listener that wait for requests from the start."""

WAKE_TIMEOUT = 1.0
"""Seconds to connect to the own listener to wake it for a stop."""


IS_DISCONNECTED_KEY = "cardamompath.gone"
"""Key in the WSGI environment of `Request.is_disconnected`."""

ARRIVED_AT_KEY = "cardamompath.arrived_at"
"""Key in the WSGI environment of `Request.arrived_at`."""


class ListenerLimits(NamedTuple):
    """Bounds of a listener."""

    threads: int = 64
    """Limit on the threads; they are started as requests come."""
    connections: int = 1024
    """Limit on open connections, and on those that wait for a thread."""
    header_bytes: int = 16 * 1024
    timeout: float = 10.0
    """Seconds within which a whole header has to arrive, and after which an
    idle connection is closed."""
    backlog: int = 128


class _GrowingThreadPool(threadpool.ThreadPool):
    """Starts a thread when a request comes and no thread waits for one.

    Parameters
    ----------
    server : BoundedServer
        Server whose requests the threads handle.
    limits : ListenerLimits
        Bounds of the listener.
    """

    def __init__(self, server, limits):
        super().__init__(
            server, min(MIN_THREADS, limits.threads), limits.threads
        )
        self._queue = queue.SimpleQueue()
        self.get = self._take
        self._capacity = limits.connections
        self._lock = threading.Lock()
        self._waiting = 0
        """Threads that wait for a request, less the requests that wait."""

    def _take(self):
        with self._lock:
            self._waiting += 1
        return self._queue.get()

    def put(self, obj):
        """Queue a connection with a request for a thread.

        Raises
        ------
        queue.Full
            If too many connections wait.
        """
        if self._queue.qsize() >= self._capacity:
            raise queue.Full
        with self._lock:
            self._waiting -= 1
            is_short = self._waiting < 0
        self._queue.put(obj)
        if is_short and len(self._threads) < self.max:
            self._threads.append(self._spawn_worker())


class Listener(NamedTuple):
    """A running listener."""

    host: str
    port: int
    stop: Callable[[], None]
    """Stops the listener once the requests in progress are answered."""
    drain: Callable[[], None] = lambda: None
    """Closes each connection after its next response."""


class _Gateway(wsgi.Gateway_10):
    """Lets the application check whether the caller has disconnected."""

    def get_environ(self):
        """Return the WSGI environment of the request."""
        environ = super().get_environ()
        environ[IS_DISCONNECTED_KEY] = functools.partial(
            _is_closed_by_peer, self.req.conn.socket
        )
        environ[ARRIVED_AT_KEY] = self.req.conn.empty_at
        return environ


def _is_closed_by_peer(sock):
    """Return whether the peer has closed the connection."""
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
        response = handler(_make_request(environ))
        content_type = "application/json"
        body = response.body
        if isinstance(body, str):
            content_type = "text/plain; charset=utf-8"
            raw = body.encode()
        else:
            raw = json.dumps(body).encode()
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(raw))),
            *response.headers,
        ]
        start_response(f"{response.status} -", headers)
        return [raw]

    return application


def _make_request(environ):
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
        is_disconnected=environ.get(IS_DISCONNECTED_KEY, bool),
        arrived_at=environ.get(ARRIVED_AT_KEY, -math.inf),
    )


def _read_body(stream, length):
    try:
        return stream.read(length)
    except TimeoutError as exc:
        raise errors.BodyTimeout("the body did not arrive in time") from exc
    except (OSError, ValueError) as exc:
        raise errors.BodyCutShort(
            "the connection failed before the body was complete"
        ) from exc


class BoundedServer(wsgi.Server):
    """A server with bounded threads, connections and header time."""

    ConnectionClass = connections.BoundedConnection
    draining = False
    header_timeout = 10.0
    arrivals: arrivals.ArrivalClock | None = None
    clock: Callable[[], float] | None = None
    """The clock of `arrivals`; both are None if they are not noted."""

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.draining = True

    def process_conn(self, conn) -> None:
        """Queue a connection with data for a thread.

        A new connection goes to the selector first, so that one that
        sends nothing does not occupy a thread.
        """
        if conn.last_used is None:
            if self.arrivals is not None:
                conn.empty_at = self.arrivals.accepted_after
            self.put_conn(conn)
            return
        try:
            self.requests.put(conn)
        except queue.Full:
            self._refuse(conn)

    def put_conn(self, conn) -> None:
        """Give a connection to the selector."""
        if self.arrivals is None:
            super().put_conn(conn)
        else:
            self.arrivals.register(conn, super().put_conn, self.clock)

    def error_log(self, msg="", level=20, traceback=False) -> None:
        """Log the errors of the server."""
        if level >= 40 or traceback:
            loguru.logger.warning("listener: {}", msg)

    def stop(self) -> None:
        """Stop; wake the selector, so that an idle server stops at once."""
        if not self.ready:
            return
        self._connections._stop_requested = True
        self._wake()
        super().stop()

    def _refuse(self, conn):
        request = conn.RequestHandlerClass(self, conn)
        request.simple_response("503 -")
        conn.has_unread = False
        conn.close()

    def _wake(self):
        address = self.socket.getsockname()[:2]
        try:
            socket.create_connection(address, WAKE_TIMEOUT).close()
        except OSError as exc:
            loguru.logger.warning(
                "listener: cannot wake the listener for the stop: {}", exc
            )


def _lengthen_select(server):
    """Raise the timeout of the server's selector.

    cheroot wakes up 100 times a second to check for expired connections,
    which is most of the processor time of an idle instance.  New
    connections and requests wake the selector anyway.
    """
    selector = server._connections._selector
    select = selector.select
    selector.select = lambda timeout=None: select(SELECT_TIMEOUT)


def _track_arrivals(server, clock, opened_at):
    """Have the selector note when connections were empty."""
    selector = server._connections._selector
    select = selector.select
    server.clock = clock
    server.arrivals = arrivals.ArrivalClock(server, opened_at)

    def select_and_note(timeout=None):
        began_at = clock()
        selected = list(select(ARRIVAL_SELECT_TIMEOUT))
        waited = 0.0 if selected else ARRIVAL_SELECT_TIMEOUT
        server.arrivals.note_selected(
            [conn for _, conn in selected], began_at, waited
        )
        return selected

    selector.select = select_and_note


def start(
    name: str,
    address: tuple[str, int],
    handler: chain.Handler,
    limits: ListenerLimits,
    clock: Callable[[], float] | None = None,
) -> Listener:
    """Start a listener.

    Parameters
    ----------
    name : str
        Name of the listener's thread.
    address : tuple of str and int
        IP address and port; port 0 picks a free one.
    handler : callable
        Handles the requests.
    limits : ListenerLimits
        Bounds of the listener.
    clock : callable, optional
        Returns the present time in seconds.  If it is given, requests tell
        when they can have arrived at the earliest.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    server = BoundedServer(
        address,
        make_application(handler),
        request_queue_size=limits.backlog,
        timeout=limits.timeout,
        server_name="cardamompath",
    )
    server.requests = _GrowingThreadPool(server, limits)
    server.max_request_header_size = limits.header_bytes
    server.header_timeout = limits.timeout
    server.keep_alive_conn_limit = limits.connections
    server.expiration_interval = EXPIRY_INTERVAL
    server.gateway = _Gateway
    opened_at = clock() if clock else 0.0
    server.prepare()
    if clock is None:
        _lengthen_select(server)
    else:
        _track_arrivals(server, clock, opened_at)
    thread = threading.Thread(target=server.serve, name=name, daemon=True)
    thread.start()
    host, port = server.bind_addr[:2]
    return Listener(host, port, server.stop, server.drain)
