"""A small HTTP listener for the stand-ins."""

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
    "Call",
    "Listener",
    "Reply",
    "run_until_ended",
    "start",
]


class Call(NamedTuple):
    """A request to a stand-in."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Reply(NamedTuple):
    """What a stand-in answers; None as status drops the connection."""

    status: int | None
    body: Any = None
    headers: tuple[tuple[str, str], ...] = ()


class Listener(NamedTuple):
    """A running listener."""

    host: str
    port: int
    stop: Callable[[], None]


class StandinServer(wsgi.Server):
    """A server that stops without waiting for its selector."""

    def stop(self) -> None:
        """Stop after the requests in progress."""
        self._connections._stop_requested = True
        with contextlib.suppress(OSError):
            address = self.socket.getsockname()
            socket.create_connection(address, 1.0).close()
        super().stop()


def start(
    handle: Callable[[Call], Reply],
    threads: int,
    host: str = "127.0.0.1",
    port: int = 0,
) -> Listener:
    """Serve `handle` on a thread pool until stopped.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """

    def application(environ, start_response):
        reply = handle(_call(environ))
        if reply.status is None:
            raise ConnectionAbortedError("dropped on purpose")
        raw = reply.body
        if not isinstance(raw, bytes):
            raw = json.dumps(raw).encode()
        headers = [("Content-Length", str(len(raw))), *reply.headers]
        start_response(f"{reply.status} -", headers)
        return [raw]

    server = StandinServer((host, port), application, numthreads=threads)
    server.keep_alive_conn_limit = 1024
    server.error_log = lambda *args, **kwargs: None
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    return Listener(host, server.bind_addr[1], server.stop)


def run_until_ended(name: str, make: Callable[[], Listener]) -> None:
    """Run a stand-in as a process, until a signal to end.

    Parameters
    ----------
    name : str
        For the line that says where it listens.
    make : callable
        Starts it.
    """
    signals = (signal.SIGTERM, signal.SIGINT)
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    running = make()
    print(f"{name} stand-in on {running.host}:{running.port}", flush=True)
    signal.sigwait(signals)
    running.stop()
    # Threads that serve calls would keep the process.
    os._exit(0)


def _call(environ):
    length = int(environ.get("CONTENT_LENGTH") or 0)
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    return Call(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        dict(parse.parse_qsl(environ.get("QUERY_STRING", ""))),
        headers,
        environ["wsgi.input"].read(length),
    )
