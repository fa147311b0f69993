"""The listener for calls of peers.

One task accepts connections and a bounded pool of threads serves them.
A connection that sends an invalid call is closed.
"""

from __future__ import annotations

import contextlib
import queue
import socket
import threading
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import loguru
from thrift.transport import TSocket
from thrift.transport import TTransport

from cardamompathd.peers import client
from cardamompathd.peers import errors
from cardamompathd.peers import wire

__all__ = [
    "Listener",
    "MethodHandler",
    "PeerLimits",
    "start",
]


class MethodHandler(NamedTuple):
    """A method and the function that carries it out."""

    method: wire.Method
    handle: Callable[[Any], Any]
    """Called with the request, on a thread of the pool; returns the reply."""


class PeerLimits(NamedTuple):
    """Limits of the listener."""

    threads: int = 48
    backlog: int = 64
    """Connections that may wait for a thread."""
    idle_timeout: float = 5.0
    """Seconds without data after which a connection is closed."""
    max_frame: int = wire.FRAME_LIMIT
    """Largest message in bytes."""


class Listener(NamedTuple):
    """A running listener."""

    host: str
    port: int
    stop: Callable[[], None]


def start(
    address: tuple[str, int],
    handlers: Sequence[MethodHandler],
    limits: PeerLimits | None = None,
    count: client.CountBytes | None = None,
) -> Listener:
    """Start a listener for peers.

    Parameters
    ----------
    address : tuple
        IP address and port to listen on.
    handlers : sequence of MethodHandler
        The methods that peers can call.
    limits : PeerLimits, optional
        Limits of the listener.
    count : callable, optional
        Called with the bytes sent and received for each answered call.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    limits = limits or PeerLimits()
    listener_sock = socket.create_server(address, backlog=limits.backlog)
    accepted: queue.Queue = queue.Queue(limits.backlog)
    table = {handler.method.name: handler for handler in handlers}
    _spawn("peers-accept", _accept, listener_sock, accepted, limits)
    for index in range(limits.threads):
        _spawn(
            f"peers-{index}",
            _serve_connections,
            accepted,
            table,
            limits,
            count,
        )

    def stop():
        with contextlib.suppress(OSError):
            listener_sock.shutdown(socket.SHUT_RDWR)
        listener_sock.close()

    host, port = listener_sock.getsockname()[:2]
    return Listener(host, port, stop)


def _spawn(name, run, *args):
    thread = threading.Thread(target=run, name=name, args=args, daemon=True)
    thread.start()


def _accept(listener_sock, accepted, limits):
    while True:
        try:
            conn, _ = listener_sock.accept()
        except OSError:
            break
        try:
            accepted.put_nowait(conn)
        except queue.Full:
            conn.close()
    for _ in range(limits.threads):
        accepted.put(None)


def _serve_connections(accepted, table, limits, count):
    while True:
        conn = accepted.get()
        if conn is None:
            return
        with conn:
            conn.settimeout(limits.idle_timeout)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            _serve(conn, table, limits, count)


def _serve(conn, table, limits, count):
    sock = TSocket.TSocket()
    sock.setHandle(conn)
    framed = TTransport.TFramedTransport(sock, limits.max_frame)
    try:
        while True:
            framed.readFrame()
            raw = framed.cstringio_buf.getvalue()
            reply = _handle_call(raw, table)
            framed.write(reply)
            framed.flush()
            if count is not None:
                count(wire.framed_size(reply), wire.framed_size(raw))
    except errors.BadMessage as exc:
        loguru.logger.warning(
            "peers: closed a connection with an invalid call: {}", exc
        )
    except (TTransport.TTransportException, OSError):
        return
    except Exception:
        loguru.logger.exception("peers: a call failed")


def _handle_call(raw, table):
    methods = {name: handler.method for name, handler in table.items()}
    method, request = wire.decode_call(raw, methods)
    return wire.encode_reply(method, table[method.name].handle(request))
