"""The listener for peers.

One task accepts; a bounded pool of threads serves the connections.  A
connection whose bytes are no call is closed.
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
    """A method and the function that answers it."""

    method: wire.Method
    handle: Callable[[Any], Any]
    """Called with the request on a thread of the pool."""


class PeerLimits(NamedTuple):
    """Bounds of the listener."""

    threads: int = 48
    backlog: int = 64
    """Connections that may wait for a thread."""
    idle: float = 5.0
    """Seconds for which a connection may be silent."""
    frame: int = wire.FRAME_LIMIT
    """Largest message, in bytes."""


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
    """Serve peers until stopped.

    Parameters
    ----------
    address : tuple
        IP number and port.
    handlers : sequence of MethodHandler
        The methods.
    limits : PeerLimits, optional
        Bounds of the listener.
    count : callable, optional
        Told of the bytes of each call that was answered.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    limits = limits or PeerLimits()
    listening = socket.create_server(address, backlog=limits.backlog)
    accepted: queue.Queue = queue.Queue(limits.backlog)
    table = {one.method.name: one for one in handlers}
    _spawn("peers-accept", _accept, listening, accepted, limits)
    for index in range(limits.threads):
        _spawn(f"peers-{index}", _serve_all, accepted, table, limits, count)

    def stop():
        with contextlib.suppress(OSError):
            listening.shutdown(socket.SHUT_RDWR)
        listening.close()

    host, port = listening.getsockname()[:2]
    return Listener(host, port, stop)


def _spawn(name, run, *args):
    thread = threading.Thread(target=run, name=name, args=args, daemon=True)
    thread.start()


def _accept(listening, accepted, limits):
    while True:
        try:
            conn, _ = listening.accept()
        except OSError:
            break
        try:
            accepted.put_nowait(conn)
        except queue.Full:
            conn.close()
    for _ in range(limits.threads):
        accepted.put(None)


def _serve_all(accepted, table, limits, count):
    while True:
        conn = accepted.get()
        if conn is None:
            return
        with conn:
            conn.settimeout(limits.idle)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            _serve(conn, table, limits, count)


def _serve(conn, table, limits, count):
    sock = TSocket.TSocket()
    sock.setHandle(conn)
    framed = TTransport.TFramedTransport(sock, limits.frame)
    try:
        while True:
            framed.readFrame()
            raw = framed.cstringio_buf.getvalue()
            reply = _answer(raw, table)
            framed.write(reply)
            framed.flush()
            if count is not None:
                count(wire.framed_size(reply), wire.framed_size(raw))
    except errors.BadMessage as exc:
        loguru.logger.warning("peers: closed a connection: {}", exc)
    except (TTransport.TTransportException, OSError):
        return
    except Exception:
        loguru.logger.exception("peers: a call failed")


def _answer(raw, table):
    methods = {name: one.method for name, one in table.items()}
    method, request = wire.decode_call(raw, methods)
    return wire.encode_reply(method, table[method.name].handle(request))
