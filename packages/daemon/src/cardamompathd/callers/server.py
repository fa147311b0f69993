"""The listener for callers or operators, and its WSGI codec."""

from __future__ import annotations

import json
from typing import NamedTuple
from urllib import parse

from cheroot import wsgi

from cardamompathd.filters import chain

__all__ = [
    "ListenerLimits",
    "make_application",
    "make_server",
]

EXPIRY_INTERVAL = 5.0
"""Seconds between looks for connections that were idle too long."""


class ListenerLimits(NamedTuple):
    """Bounds of a listener."""

    threads: int = 64
    connections: int = 1024
    header_bytes: int = 16 * 1024
    timeout: float = 10.0
    """Seconds for which a connection may keep a read waiting."""
    backlog: int = 128


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
    length = environ.get("CONTENT_LENGTH")
    size = int(length) if length else None
    query = dict(parse.parse_qsl(environ.get("QUERY_STRING", "")))
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }

    def read() -> bytes:
        return environ["wsgi.input"].read(size or 0)

    return chain.Request(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        query,
        headers,
        read,
        size,
    )


def make_server(
    host: str, port: int, handler: chain.Handler, limits: ListenerLimits
) -> wsgi.Server:
    """Make a server that is bound, but does not accept yet.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    server = wsgi.Server(
        (host, port),
        make_application(handler),
        numthreads=limits.threads,
        max=limits.threads,
        request_queue_size=limits.backlog,
        timeout=limits.timeout,
        server_name="cardamompath",
    )
    server.max_request_header_size = limits.header_bytes
    server.keep_alive_conn_limit = limits.connections
    server.expiration_interval = EXPIRY_INTERVAL
    server.prepare()
    return server
