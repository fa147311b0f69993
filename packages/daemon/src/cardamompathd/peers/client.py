"""Calls to a peer over a connection opened for the call.

A new connection works when old ones went silent, and a late answer can
never meet another call.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from thrift.transport import TSocket
from thrift.transport import TTransport

from cardamompathd.peers import errors
from cardamompathd.peers import wire

__all__ = [
    "Call",
    "CountBytes",
    "call",
]

CONNECT_TIMEOUT = 0.5
"""Seconds until a peer that does not accept counts as unreachable."""

Address = tuple[str, int]
Call = Callable[[Address, wire.Method, Any, float], Any]
CountBytes = Callable[[int, int], None]
"""Called with the bytes of frames that were sent and received."""


def _count_nothing(sent, received):
    return None


def call(
    address: Address,
    method: wire.Method,
    request: Any,
    timeout: float,
    count: CountBytes = _count_nothing,
) -> Any:
    """Call a method of a peer and return its reply.

    Parameters
    ----------
    address : tuple
        IP number and port.
    method : Method
        The method.
    request : NamedTuple
        Its request.
    timeout : float
        Seconds for which the peer may be silent.
    count : callable, optional
        Told of the bytes, with no answer too.

    Raises
    ------
    PeerUnreachable
        If no connection came up.
    PeerNoReply
        If no answer came; the call may have been carried out.
    BadMessage
        If the answer cannot be read.
    """
    raw = wire.encode_call(method, request)
    try:
        conn = socket.create_connection(address, CONNECT_TIMEOUT)
    except OSError as exc:
        raise errors.PeerUnreachable(f"{address!r}: {exc!r}") from exc
    with conn:
        conn.settimeout(timeout)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reply = b""
        try:
            reply = _exchange(conn, raw)
        finally:
            count(wire.framed_size(raw), wire.framed_size(reply))
        return wire.decode_reply(reply, method)


def _exchange(conn, raw):
    sock = TSocket.TSocket()
    sock.setHandle(conn)
    framed = TTransport.TFramedTransport(sock, wire.FRAME_LIMIT)
    try:
        framed.write(raw)
        framed.flush()
        framed.readFrame()
    except (TTransport.TTransportException, OSError) as exc:
        raise errors.PeerNoReply(repr(exc)) from exc
    return framed.cstringio_buf.getvalue()
