"""HTTP listener that the stand-ins share."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import threading
from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from urllib import parse

from cheroot import wsgi

__all__ = [
    "Listener",
    "Request",
    "Response",
    "run_until_signal",
    "start",
]


MAX_PENDING_CONNECTIONS = 1024
"""Connections that may wait until the listener accepts them."""


class Request(NamedTuple):
    """A request to a stand-in; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """Response of a stand-in; a status of None drops the connection."""

    status: int | None
    body: Any = None
    headers: tuple[tuple[str, str], ...] = ()


class Listener(NamedTuple):
    """Address of a running listener, and the function that stops it."""

    host: str
    port: int
    stop: Callable[[], None]


class StandinServer(wsgi.Server):
    """Server that wakes its selector by a connection in order to stop.

    Otherwise it would stop only after the timeout of the selector.
    """

    def stop(self) -> None:
        """Stop when the requests in progress have ended."""
        self._connections._stop_requested = True
        with contextlib.suppress(OSError):
            address = self.socket.getsockname()
            socket.create_connection(address, 1.0).close()
        super().stop()


def start(
    handle: Callable[[Request], Response],
    threads: int,
    host: str = "127.0.0.1",
    port: int = 0,
) -> Listener:
    """Serve requests with `handle` on a thread pool until stopped.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def application(environ, start_response):
        response = handle(_parse_request(environ))
        if response.status is None:
            raise ConnectionAbortedError("dropped on purpose")
        body = response.body
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        headers = [("Content-Length", str(len(body))), *response.headers]
        start_response(f"{response.status} -", headers)
        return [body]

    server = StandinServer((host, port), application, numthreads=threads)
    server.keep_alive_conn_limit = 1024
    server.request_queue_size = MAX_PENDING_CONNECTIONS
    server.error_log = lambda *args, **kwargs: None
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    return Listener(host, server.bind_addr[1], server.stop)


def run_until_signal(
    name: str, start_listener: Callable[[], Listener]
) -> None:
    """Run a stand-in until the process gets SIGTERM or SIGINT.

    Parameters
    ----------
    name : str
        Name of the stand-in in the line that gives its address.
    start_listener : callable
        Starts the stand-in.
    """
    signals = (signal.SIGTERM, signal.SIGINT)
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    standin = start_listener()
    print(f"{name} stand-in on {standin.host}:{standin.port}", flush=True)
    signal.sigwait(signals)
    standin.stop()
    # Threads that still handle a request would keep the process alive.
    os._exit(0)


def _parse_request(environ):
    length = int(environ.get("CONTENT_LENGTH") or 0)
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    return Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(parse.parse_qsl(environ.get("QUERY_STRING", ""))),
        headers,
        environ["wsgi.input"].read(length),
    )
