"""Calls to a peer, each over a connection of its own.

A new connection works even if older ones have become unresponsive, and
a late reply can never be taken for the reply to another call.
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
"""Seconds after which a peer that accepts no connection is unreachable."""

Address = tuple[str, int]
Call = Callable[[Address, wire.Method, Any, float], Any]
CountBytes = Callable[[int, int], None]
"""Called with the bytes sent and received, frame headers included."""


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
        IP address and port.
    method : Method
        The method to call.
    request : NamedTuple
        The struct to send.
    timeout : float
        Seconds to wait for each read from the peer.
    count : callable, optional
        Called with the numbers of bytes, also if no reply arrived.

    Raises
    ------
    PeerUnreachable
        If no connection could be established.
    PeerNoReply
        If no reply arrived; the peer may have run the call.
    BadMessage
        If the reply cannot be decoded.
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
